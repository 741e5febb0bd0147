#pragma once

#include <array>
#include <cstdint>

#include "acaciafork/decisions/routing/RequestInfo.h"

namespace acaciafork::routing {

/// What to do after the end of an attempt.
enum class RetryDecision : std::uint8_t {
    Deliver, ///< the caller gets the complete answer
    Retry, ///< retry if budget and deadline allow it; refuse the request otherwise
    NotRun, ///< answer that the work did not run
    Unknown, ///< answer that the work may have run
};

/// One row of the retry table: the decision for one phase and outcome of an attempt.
struct RetryRule
{
    AttemptPhase phase;
    AttemptOutcome outcome;
    RetryDecision idempotent;
    RetryDecision nonIdempotent;
    /// True when the work is known not to have run.
    bool knownNotRun;
};

/// The complete retry policy. Work that is known not to have run is always retried; work that may
/// have run is retried only when it is idempotent. After part of an answer was passed on to the
/// caller, nothing is retried. The order of the rows is that of the enum values.
inline constexpr std::array<RetryRule, attemptPhaseCount * attemptOutcomeCount> retryTable { {
        // phase, outcome, idempotent, nonIdempotent, knownNotRun
        { AttemptPhase::NotSent, AttemptOutcome::Ok, RetryDecision::Retry, RetryDecision::Retry,
          true },
        { AttemptPhase::NotSent, AttemptOutcome::ConnectFailed, RetryDecision::Retry,
          RetryDecision::Retry, true },
        { AttemptPhase::NotSent, AttemptOutcome::RefusedNotRun, RetryDecision::Retry,
          RetryDecision::Retry, true },
        { AttemptPhase::NotSent, AttemptOutcome::EndpointError, RetryDecision::Retry,
          RetryDecision::Retry, true },
        { AttemptPhase::NotSent, AttemptOutcome::Reset, RetryDecision::Retry, RetryDecision::Retry,
          true },
        { AttemptPhase::NotSent, AttemptOutcome::Timeout, RetryDecision::Retry,
          RetryDecision::Retry, true },
        { AttemptPhase::NotSent, AttemptOutcome::Truncated, RetryDecision::Retry,
          RetryDecision::Retry, true },
        { AttemptPhase::NotSent, AttemptOutcome::MismatchedAttempt, RetryDecision::Retry,
          RetryDecision::Retry, true },

        { AttemptPhase::Sent, AttemptOutcome::Ok, RetryDecision::Unknown, RetryDecision::Unknown,
          false },
        { AttemptPhase::Sent, AttemptOutcome::ConnectFailed, RetryDecision::Retry,
          RetryDecision::Unknown, false },
        { AttemptPhase::Sent, AttemptOutcome::RefusedNotRun, RetryDecision::Retry,
          RetryDecision::Retry, true },
        { AttemptPhase::Sent, AttemptOutcome::EndpointError, RetryDecision::Retry,
          RetryDecision::Unknown, false },
        { AttemptPhase::Sent, AttemptOutcome::Reset, RetryDecision::Retry, RetryDecision::Unknown,
          false },
        { AttemptPhase::Sent, AttemptOutcome::Timeout, RetryDecision::Retry, RetryDecision::Unknown,
          false },
        { AttemptPhase::Sent, AttemptOutcome::Truncated, RetryDecision::Retry,
          RetryDecision::Unknown, false },
        { AttemptPhase::Sent, AttemptOutcome::MismatchedAttempt, RetryDecision::Retry,
          RetryDecision::Unknown, false },

        { AttemptPhase::Headers, AttemptOutcome::Ok, RetryDecision::Deliver, RetryDecision::Deliver,
          false },
        { AttemptPhase::Headers, AttemptOutcome::ConnectFailed, RetryDecision::Retry,
          RetryDecision::Unknown, false },
        { AttemptPhase::Headers, AttemptOutcome::RefusedNotRun, RetryDecision::Retry,
          RetryDecision::Retry, true },
        { AttemptPhase::Headers, AttemptOutcome::EndpointError, RetryDecision::Retry,
          RetryDecision::Deliver, false },
        { AttemptPhase::Headers, AttemptOutcome::Reset, RetryDecision::Retry,
          RetryDecision::Unknown, false },
        { AttemptPhase::Headers, AttemptOutcome::Timeout, RetryDecision::Retry,
          RetryDecision::Unknown, false },
        { AttemptPhase::Headers, AttemptOutcome::Truncated, RetryDecision::Retry,
          RetryDecision::Unknown, false },
        { AttemptPhase::Headers, AttemptOutcome::MismatchedAttempt, RetryDecision::Retry,
          RetryDecision::Unknown, false },

        { AttemptPhase::Body, AttemptOutcome::Ok, RetryDecision::Deliver, RetryDecision::Deliver,
          false },
        { AttemptPhase::Body, AttemptOutcome::ConnectFailed, RetryDecision::Unknown,
          RetryDecision::Unknown, false },
        { AttemptPhase::Body, AttemptOutcome::RefusedNotRun, RetryDecision::Unknown,
          RetryDecision::Unknown, false },
        { AttemptPhase::Body, AttemptOutcome::EndpointError, RetryDecision::Deliver,
          RetryDecision::Deliver, false },
        { AttemptPhase::Body, AttemptOutcome::Reset, RetryDecision::Unknown, RetryDecision::Unknown,
          false },
        { AttemptPhase::Body, AttemptOutcome::Timeout, RetryDecision::Unknown,
          RetryDecision::Unknown, false },
        { AttemptPhase::Body, AttemptOutcome::Truncated, RetryDecision::Unknown,
          RetryDecision::Unknown, false },
        { AttemptPhase::Body, AttemptOutcome::MismatchedAttempt, RetryDecision::Unknown,
          RetryDecision::Unknown, false },
} };

/// Row of the retry table for the end of an attempt.
constexpr const RetryRule &retryRule(AttemptPhase phase, AttemptOutcome outcome)
{
    return retryTable[static_cast<std::size_t>(phase) * attemptOutcomeCount
                      + static_cast<std::size_t>(outcome)];
}

/// Decision of the retry table for the end of an attempt.
constexpr RetryDecision retryDecision(AttemptPhase phase, AttemptOutcome outcome, bool idempotent)
{
    const RetryRule &rule = retryRule(phase, outcome);
    return idempotent ? rule.idempotent : rule.nonIdempotent;
}

} // namespace acaciafork::routing
