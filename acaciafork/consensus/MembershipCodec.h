#pragma once

#include "acaciafork/consensus/Membership.h"
#include "wire/consensus.pb.h"

namespace acaciafork::consensus {

/// Copies a membership into its wire form.
void toWire(const Membership &membership, wire::consensus::Membership *to);

/// Copies a membership from its wire form.
Membership fromWire(const wire::consensus::Membership &from);

} // namespace acaciafork::consensus
