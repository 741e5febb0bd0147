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

/// Why a request is given its final answer without an endpoint's.
enum class RefusalReason : std::uint8_t {
    NoCredit, ///< no slot is held and none can come in time
    QueueFull, ///< the queue of the service is at its bound
    DeadlineTooClose, ///< it can't be answered before its deadline
    UnknownService, ///< no such service is configured
    Draining, ///< the entry is shutting down
    AttemptsFailed, ///< attempts failed and no further one is allowed
    LedgerUnavailable, ///< the ledger could not record it
    LedgerRunning, ///< a request of the same key is being worked on
    LedgerEnded, ///< a request of the same key has ended; its answer is not kept
    KeyReused, ///< the key was used with another body
};

/// Send the request to an endpoint. Text views are valid until the next event.
struct StartAttempt
{
    RequestId request;
    AttemptId attempt;
    std::string_view endpoint;
    std::string_view address;
    Incarnation incarnation;
    /// Moment at which the port must report a timeout unless the answer has come whole.
    Timestamp deadline;
    /// True to use an idle connection; false to open a new one.
    bool reuseConnection = false;
};

/// Pass the answer of this attempt on to the caller, as it comes.
struct ForwardAnswer
{
    RequestId request;
    AttemptId attempt;
};

/// Tell the caller at once that its work did not run.
struct AnswerNotRun
{
    RequestId request;
    FailureKind kind = FailureKind::Overloaded;
    RefusalReason reason = RefusalReason::NoCredit;
    Duration retryAfter {};
};

/// Tell the caller that its work may have run. If part of the answer has gone out already, break
/// the caller's connection instead, so that no truncated answer looks whole.
struct AnswerUnknown
{
    RequestId request;
    FailureKind kind = FailureKind::Timeout;
    RefusalReason reason = RefusalReason::AttemptsFailed;
    Duration retryAfter {};
};

/// Enter the request in the replicated ledger; `ledgerVerdict` brings the answer.
struct AskLedger
{
    RequestId request;
    ServiceName service;
    std::uint64_t keyDigest = 0;
    std::uint64_t bodyDigest = 0;
};

/// How a request in the ledger ended.
enum class LedgerEnd : std::uint8_t { NotRun, Answered, Unknown };

/// Note the end of a ledger request; may be lost, delayed and batched at will.
struct RecordLedgerEnd
{
    RequestId request;
    ServiceName service;
    std::uint64_t keyDigest = 0;
    LedgerEnd end = LedgerEnd::Unknown;
};

/// Pass the whole request to a peer entry and stream its answer back; `forwardEnded` follows.
struct ForwardToPeer
{
    RequestId request;
    ProcessId peer;
    Timestamp deadline;
};

/// Send the report to the control leader.
struct SendCreditReport
{
    CreditReport report;
};

/// Tell every peer entry.
struct BroadcastLeaving
{
    LeavingNotice notice;
};

/// Give up on an attempt: nothing of its answer goes to a caller any more. Its connection stays
/// open, carries nothing else, and its end is still reported.
struct AbandonAttempt
{
    AttemptId attempt;
};

/// Close the attempt's connection by reset; the attempt is known to have ended.
struct ReleaseAttempt
{
    AttemptId attempt;
};

/// Close idle connections of an endpoint; `connectionClosed` follows for each.
struct CloseConnections
{
    std::string_view endpoint;
    std::uint32_t count = 0;
};

/// Connect to an ejected endpoint and close again; `probeEnded` follows.
struct ProbeEndpoint
{
    std::string_view endpoint;
    std::string_view address;
};

/// A change of state for the time line.
struct RecordEvent
{
    EventKind kind = EventKind::EndpointEjected;
    std::string subject;
    std::string detail;
};

/// One thing that the entry must do.
using EntryCommand =
        std::variant<StartAttempt, ForwardAnswer, AnswerNotRun, AnswerUnknown, AskLedger,
                     RecordLedgerEnd, ForwardToPeer, SendCreditReport, BroadcastLeaving,
                     AbandonAttempt, ReleaseAttempt, CloseConnections, ProbeEndpoint, RecordEvent>;
/// Commands in the order in which they must be carried out.
using EntryCommands = std::vector<EntryCommand>;

} // namespace acaciafork::routing
