#include "acaciafork/operators/Replies.h"

#include <boost/json.hpp>

#include "acaciafork/state/State.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

constexpr int statusOk = 200;

/// Fields that tell what became of a command.
json::object describe(const state::ApplyResult &result)
{
    json::object body;
    body["outcome"] = state::outcomeName(result.outcome());
    if (result.version() != 0)
        body["version"] = result.version();
    if (!result.detail().empty())
        body["detail"] = result.detail();
    if (result.ledger_outcome() != wire::LEDGER_OUTCOME_NONE)
        body["ledgerOutcome"] = state::ledgerOutcomeName(result.ledger_outcome());
    return body;
}

} // namespace

ApiReply jsonReply(const boost::json::value &body)
{
    return { .status = statusOk, .body = json::serialize(body) };
}

ApiReply errorReply(const Failure &failure)
{
    const json::object error { { "kind", failureKindName(failure.kind) },
                               { "detail", failure.detail } };
    return { .status = httpStatus(failure.kind),
             .body = json::serialize(json::object { { "error", error } }) };
}

ApiReply replyOf(const state::ApplyResult &result)
{
    json::object body = describe(result);
    if (state::succeeded(result))
        return jsonReply(body);
    const FailureKind kind = failureKindOf(result.outcome());
    body["kind"] = failureKindName(kind);
    if (result.winner_time_us() != 0)
        body["winner"] = { { "name", result.winner() }, { "timeUs", result.winner_time_us() } };
    return { .status = httpStatus(kind),
             .body = json::serialize(json::object { { "error", std::move(body) } }) };
}

FailureKind failureKindOf(wire::Outcome outcome)
{
    switch (outcome) {
    case wire::OUTCOME_VERSION_CONFLICT:
    case wire::OUTCOME_CONTENT_CONFLICT:
    case wire::OUTCOME_WRONG_STATE:
    case wire::OUTCOME_STALE_EPOCH:
    case wire::OUTCOME_OVER_QUOTA:
    case wire::OUTCOME_ALREADY_BEGUN:
    case wire::OUTCOME_LEDGER_FINISHED:
        return FailureKind::Conflict;
    case wire::OUTCOME_NOT_FOUND:
        return FailureKind::NotFound;
    case wire::OUTCOME_INVALID:
    case wire::OUTCOME_MALFORMED:
        return FailureKind::InvalidArgument;
    case wire::OUTCOME_FULL:
        return FailureKind::Overloaded;
    default:
        return FailureKind::Internal;
    }
}

} // namespace acaciafork::operators
