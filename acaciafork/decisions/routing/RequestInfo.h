#pragma once

#include <cstdint>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Class of a request, from the header `Acaciafork-Class`.
enum class RequestClass : std::uint8_t {
    Interactive, ///< a user waits for the answer
    Batch, ///< no user waits for the answer; served after interactive work
    Stream, ///< stays open; its slots are limited separately
};

/// The properties of a caller's request that routing decisions depend on.
struct RequestInfo
{
    RequestId request;
    ServiceName service;
    /// Hash of the path pattern. Requests of one route are expected to have similar service times.
    std::uint64_t routeHash = 0;
    RequestClass requestClass = RequestClass::Interactive;
    bool idempotent = true;
    /// Digest of the idempotency key; 0 when the caller gave none.
    std::uint64_t keyDigest = 0;
    /// Digest of the body, to detect a key that is reused with a different body.
    std::uint64_t bodyDigest = 0;
    /// Time after which the answer is of no use to the caller.
    Timestamp deadline;
    std::uint64_t bodyBytes = 0;
    /// True when a peer entry forwarded the request to this one. It is not forwarded again.
    bool forwarded = false;
};

/// Progress of an attempt when it ended.
enum class AttemptPhase : std::uint8_t {
    NotSent, ///< no byte of the request had been sent
    Sent, ///< at least one byte had been sent, no answer received
    Headers, ///< answer headers received, nothing passed on to the caller
    Body, ///< part of the answer had been passed on to the caller
};
/// Number of values of AttemptPhase.
inline constexpr std::size_t attemptPhaseCount = 4;

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
    Ok, ///< complete answer with a status below 500
    ConnectFailed, ///< the connection to the endpoint failed
    RefusedNotRun, ///< the endpoint answered that it did not begin the work
    EndpointError, ///< complete answer with a status of 500 or above
    Reset, ///< the connection broke
    Timeout, ///< no complete answer before the deadline
    Truncated, ///< the answer ended early
    MismatchedAttempt, ///< the answer carries the id of another attempt
};
/// Number of values of AttemptOutcome.
inline constexpr std::size_t attemptOutcomeCount = 8;

/// End of an attempt, as reported by the endpoint client.
struct AttemptEnd
{
    AttemptPhase phase = AttemptPhase::NotSent;
    AttemptOutcome outcome = AttemptOutcome::Ok;
    /// True when the connection can be reused for another attempt.
    bool connectionKept = false;
};

/// Answer of the replicated ledger about a request that must run at most once.
enum class LedgerVerdict : std::uint8_t {
    Recorded, ///< first request with this key, committed: it may be sent once
    Running, ///< another request with this key is running
    EndedAnswered, ///< a request with this key was answered; the answer is not stored
    EndedUnknown, ///< a request with this key has ended and may have run
    BodyDiffers, ///< the key was used before with a different body
    Unavailable, ///< no quorum answered; the request may or may not be recorded
};

} // namespace acaciafork::routing
