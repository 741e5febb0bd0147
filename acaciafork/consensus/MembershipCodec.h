#pragma once

#include "acaciafork/consensus/Membership.h"
#include "wire/consensus.pb.h"

namespace acaciafork::consensus {

/// Converts a membership to its protobuf message.
void toWire(const Membership &membership, wire::consensus::Membership *to);

/// Converts a membership from its protobuf message.
Membership fromWire(const wire::consensus::Membership &from);

} // namespace acaciafork::consensus
