#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/core/Timeline.h"
#include "acaciafork/decisions/routing/Messages.h"

namespace acaciafork::routing {

/// Why the entry answers a request itself instead of passing on an endpoint's answer.
enum class RefusalReason : std::uint8_t {
    NoCredit, ///< no slot was granted in time
    QueueFull, ///< the queue of the service is full, or the wait in it too long
    DeadlineTooClose, ///< it can't be answered before its deadline
    UnknownService, ///< no such service is configured
    Draining, ///< the entry is shutting down
    AttemptsFailed, ///< an attempt failed and no retry is allowed
    LedgerUnavailable, ///< the ledger could not record the request
    LedgerRunning, ///< a request with the same idempotency key is running
    LedgerEnded, ///< a request with the same key has ended; its answer is not stored
    KeyReused, ///< the key was used before with a different body
};

/// Send the request to an endpoint. The string views are valid until the next event.
struct StartAttempt
{
    RequestId request;
    AttemptId attempt;
    std::string_view endpoint;
    std::string_view address;
    Incarnation incarnation;
    /// Time at which the endpoint client must report a timeout unless the answer is complete.
    Timestamp deadline;
    /// True to use an idle connection; false to open a new one.
    bool reuseConnection = false;
};

/// Stream the answer of this attempt to the caller.
struct ForwardAnswer
{
    RequestId request;
    AttemptId attempt;
};

/// Answer the caller now: its work did not run.
struct AnswerNotRun
{
    RequestId request;
    FailureKind kind = FailureKind::Overloaded;
    RefusalReason reason = RefusalReason::NoCredit;
    Duration retryAfter {};
};

/// Answer the caller that its work may have run. If part of an answer was already sent, abort the
/// caller's connection instead, so that a truncated answer does not look complete.
struct AnswerUnknown
{
    RequestId request;
    FailureKind kind = FailureKind::Timeout;
    RefusalReason reason = RefusalReason::AttemptsFailed;
    Duration retryAfter {};
};

/// Record the request in the replicated ledger, which makes it run at most once. The answer comes
/// as the event `ledgerVerdict`.
struct AskLedger
{
    RequestId request;
    ServiceName service;
    std::uint64_t keyDigest = 0;
    std::uint64_t bodyDigest = 0;
};

/// How a request in the ledger ended.
enum class LedgerEnd : std::uint8_t { NotRun, Answered, Unknown };

/// Record in the ledger how a request ended. May be lost, delayed or batched.
struct RecordLedgerEnd
{
    RequestId request;
    ServiceName service;
    std::uint64_t keyDigest = 0;
    LedgerEnd end = LedgerEnd::Unknown;
};

/// Forward the whole request to a peer entry and stream its answer back. The event `forwardEnded`
/// follows.
struct ForwardToPeer
{
    RequestId request;
    ProcessId peer;
    Timestamp deadline;
};

/// Send a credit report to the control leader.
struct SendCreditReport
{
    CreditReport report;
};

/// Send the notice that an endpoint is leaving to every peer entry.
struct BroadcastLeaving
{
    LeavingNotice notice;
};

/// Abandon an attempt: its answer no longer goes to the caller. Its connection stays open but is
/// not reused, and the end of the attempt is still reported.
struct AbandonAttempt
{
    AttemptId attempt;
};

/// Reset the connection of an attempt that is known to have ended.
struct ReleaseAttempt
{
    AttemptId attempt;
};

/// Close idle connections to an endpoint. The event `connectionClosed` follows for each.
struct CloseConnections
{
    std::string_view endpoint;
    std::uint32_t count = 0;
};

/// Connect to an endpoint and close the connection again. The event `probeEnded` follows.
struct ProbeEndpoint
{
    std::string_view endpoint;
    std::string_view address;
};

/// Record a change of state in the timeline.
struct RecordEvent
{
    EventKind kind = EventKind::EndpointEjected;
    std::string subject;
    std::string detail;
};

/// One action that the entry must carry out.
using EntryCommand =
        std::variant<StartAttempt, ForwardAnswer, AnswerNotRun, AnswerUnknown, AskLedger,
                     RecordLedgerEnd, ForwardToPeer, SendCreditReport, BroadcastLeaving,
                     AbandonAttempt, ReleaseAttempt, CloseConnections, ProbeEndpoint, RecordEvent>;
/// Commands in the order in which they must be carried out.
using EntryCommands = std::vector<EntryCommand>;

} // namespace acaciafork::routing
