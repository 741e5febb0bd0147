#pragma once

#include <functional>

#include "acaciafork/control/EntryRegistry.h"
#include "acaciafork/control/ProposalTable.h"
#include "acaciafork/state/State.h"
#include "wire/peers.pb.h"

namespace acaciafork::control {

/// Command that enters a request in the ledger, from an entry's question.
wire::Command ledgerBegin(const wire::Envelope &question);

/// Command that records ends, from an entry's message.
wire::Command ledgerEnds(const wire::Envelope &message);

/// What the entry is told about its question.
/// @param[in] result of the begin; null when it is not known whether it was committed
/// @param[in] holder entry in whose hands the key is now, if the registry knows it
wire::LedgerAnswer ledgerAnswer(const state::ApplyResult *result, bool holderLives);

} // namespace acaciafork::control
