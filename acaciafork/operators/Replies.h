#pragma once

#include <boost/json/fwd.hpp>

#include "acaciafork/core/Failure.h"
#include "acaciafork/operators/ApiCall.h"
#include "acaciafork/state/ApplyResult.h"

namespace acaciafork::operators {

/// Reply 200 with a JSON body.
ApiReply jsonReply(const boost::json::value &body);

/// Reply for a failure: its HTTP status and `{"error":{"kind","detail"}}`.
ApiReply errorReply(const Failure &failure);

/// Reply for the result of a command: 200 with outcome and version, or a typed error that, for a
/// conflict, shows the version in force and who won.
ApiReply replyOf(const state::ApplyResult &result);

/// Kind of failure that an outcome is; only for outcomes that refuse.
FailureKind failureKindOf(wire::Outcome outcome);

} // namespace acaciafork::operators
