#pragma once

#include <cstdint>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// What kind of waiting a caller does; `Acaciafork-Class`.
enum class RequestClass : std::uint8_t {
    Interactive, ///< a person waits
    Batch, ///< nobody waits; served after interactive work
    Stream, ///< stays open; counted apart from requests
};

/// Everything that a decision needs to know of a caller's request.
struct RequestInfo
{
    RequestId request;
    ServiceName service;
    /// Hash of the path's shape; requests of one route are expected to take alike long.
    std::uint64_t routeHash = 0;
    RequestClass requestClass = RequestClass::Interactive;
    bool idempotent = true;
    /// Digest of the idempotency key; 0 when the caller gave none.
    std::uint64_t keyDigest = 0;
    /// Digest of the body, so that a key used again with another body is told apart.
    std::uint64_t bodyDigest = 0;
    /// Moment after which the answer is of no use to the caller.
    Timestamp deadline;
    std::uint64_t bodyBytes = 0;
    /// True when another entry passed the request here; it is not passed on again.
    bool forwarded = false;
};

/// How far an attempt had come when it ended.
enum class AttemptPhase : std::uint8_t {
    NotSent, ///< no byte of the request had left
    Sent, ///< at least one byte had left, no answer yet
    Headers, ///< answer headers had come, none of the answer had gone to the caller
    Body, ///< part of the answer had gone to the caller
};
/// Number of values of AttemptPhase.
inline constexpr std::size_t attemptPhaseCount = 4;

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
    Ok, ///< the whole answer came, status below 500
    ConnectFailed, ///< no connection to the endpoint
    RefusedNotRun, ///< the endpoint said that it did not begin the work
    EndpointError, ///< the whole answer came, status 500 or above
    Reset, ///< the connection broke
    Timeout, ///< no answer in time
    Truncated, ///< the answer broke off
    MismatchedAttempt, ///< the answer names another attempt
};
/// Number of values of AttemptOutcome.
inline constexpr std::size_t attemptOutcomeCount = 8;

/// End of an attempt, as the endpoint port saw it.
struct AttemptEnd
{
    AttemptPhase phase = AttemptPhase::NotSent;
    AttemptOutcome outcome = AttemptOutcome::Ok;
    /// True when the connection can carry another attempt.
    bool connectionKept = false;
};

/// What the replicated ledger said of a request that must run at most once.
enum class LedgerVerdict : std::uint8_t {
    Recorded, ///< first of its key, committed: it may be sent, once
    Running, ///< the key is being worked on elsewhere
    EndedAnswered, ///< the key's work was done; its answer is not kept
    EndedUnknown, ///< the key's work may have been done
    BodyDiffers, ///< the key was used with another body
    Unavailable, ///< no quorum answered; nothing was recorded for sure
};

} // namespace acaciafork::routing
