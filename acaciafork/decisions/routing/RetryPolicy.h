#pragma once

#include <array>
#include <cstdint>

#include "acaciafork/decisions/routing/RequestInfo.h"

namespace acaciafork::routing {

/// What follows from the end of an attempt.
enum class RetryDecision : std::uint8_t {
    Deliver, ///< the answer is the caller's, whole
    Retry, ///< try again within budget and deadline; what is said otherwise is in `giveUp`
    NotRun, ///< say that the work did not run
    Unknown, ///< say that the work may have run
};

/// One row of the table: what an attempt's end means for each kind of request.
struct RetryRule
{
    AttemptPhase phase;
    AttemptOutcome outcome;
    RetryDecision idempotent;
    RetryDecision nonIdempotent;
    /// True when the attempt has surely not run.
    bool knownNotRun;
};

/// The whole policy on retries. Work that surely did not run is tried again whatever it is; work
/// that may have run only when it is idempotent; once part of an answer is with the caller, never.
inline constexpr std::array<RetryRule, attemptPhaseCount * attemptOutcomeCount> retryTable { {
        // phase, outcome, idempotent, other, surely not run
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

/// Row of the table for an attempt's end.
constexpr const RetryRule &retryRule(AttemptPhase phase, AttemptOutcome outcome)
{
    return retryTable[static_cast<std::size_t>(phase) * attemptOutcomeCount
                      + static_cast<std::size_t>(outcome)];
}

/// Decision of the table for an attempt's end.
constexpr RetryDecision retryDecision(AttemptPhase phase, AttemptOutcome outcome, bool idempotent)
{
    const RetryRule &rule = retryRule(phase, outcome);
    return idempotent ? rule.idempotent : rule.nonIdempotent;
}

} // namespace acaciafork::routing
