#pragma once

#include <span>

#include "acaciafork/decisions/routing/Admission.h"
#include "acaciafork/decisions/routing/AttemptLifecycle.h"
#include "acaciafork/decisions/routing/CreditHolder.h"
#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"
#include "acaciafork/decisions/routing/Messages.h"
#include "acaciafork/decisions/routing/RequestInfo.h"

namespace acaciafork::routing {

/// How a request that was forwarded to a peer entry ended.
enum class ForwardOutcome : std::uint8_t {
    Answered, ///< the peer's complete answer was sent to the caller
    NotRun, ///< the peer refused it, or was unreachable before any byte was sent
    Unknown, ///< anything else
};

/// Makes all decisions of an entry about callers' requests. Does no I/O: each event appends
/// commands to `out`, which the user of this class carries out in order; it reports their results
/// as further events.
class EntryScheduler
{
public:
    /// @param[in] options identity and settings of this entry
    explicit EntryScheduler(const EntryOptions &options);

    EntryScheduler(const EntryScheduler &) = delete;
    EntryScheduler &operator=(const EntryScheduler &) = delete;

    /// A caller's request has been received completely. It is answered by ForwardAnswer,
    /// AnswerNotRun or AnswerUnknown, or forwarded by ForwardToPeer.
    void requestArrived(Timestamp now, const RequestInfo &info, EntryCommands *out);

    /// The status and headers of an attempt's answer have been received; the endpoint client holds
    /// them back until ForwardAnswer. Must not be called for an answer which says that the work did
    /// not begin.
    /// @param[in] endpointError true for a status of 500 or above
    void attemptHeaders(Timestamp now, AttemptId attempt, bool endpointError, EntryCommands *out);

    /// An attempt has ended from the point of view of the endpoint client. After a timeout or
    /// AbandonAttempt the client keeps the connection open and reports again once the attempt has
    /// ended at the endpoint.
    void attemptEnded(Timestamp now, AttemptId attempt, const AttemptEnd &end, EntryCommands *out);

    /// The caller has disconnected, or its answer could not be written.
    void callerGone(Timestamp now, RequestId request, EntryCommands *out);

    /// A request forwarded to a peer has ended.
    void forwardEnded(Timestamp now, RequestId request, ForwardOutcome outcome, EntryCommands *out);

    /// The control leader has sent a grant.
    void grantReceived(Timestamp now, const CreditGrant &grant, EntryCommands *out);

    /// An endpoint has announced itself at this entry.
    void endpointAnnounced(Timestamp now, const EndpointAnnouncement &announcement,
                           EntryCommands *out);

    /// An endpoint is leaving, by a notice of a peer entry or the control leader.
    void endpointLeaving(Timestamp now, const LeavingNotice &notice, EntryCommands *out);

    /// A probe has ended.
    /// @param[in] reached true when the endpoint accepted the connection
    void probeEnded(Timestamp now, const EndpointName &endpoint, bool reached, EntryCommands *out);

    /// A connection without an attempt has been closed, by either side.
    void connectionClosed(Timestamp now, const EndpointName &endpoint, EntryCommands *out);

    /// The ledger has answered AskLedger.
    void ledgerVerdict(Timestamp now, RequestId request, LedgerVerdict verdict, EntryCommands *out);

    /// A new configuration has taken effect.
    void configApplied(Timestamp now, std::span<const ServiceSettings> services,
                       EntryCommands *out);

    /// The control leader of a term is reachable.
    void controlLeaderFound(Timestamp now, std::uint64_t term, EntryCommands *out);

    /// No control leader is reachable.
    void controlLeaderLost(Timestamp now, EntryCommands *out);

    /// Starts a graceful shutdown: new requests are refused, those in progress are completed.
    void drain(Timestamp now, EntryCommands *out);

    /// Handles everything that depends on time. To be called about every 10 ms.
    void tick(Timestamp now, EntryCommands *out);

    /// Number of requests without a final answer.
    [[nodiscard]] std::size_t requestsInProgress() const { return m_state.requests.size(); }

    /// The tables, for counters and tests.
    [[nodiscard]] const EntryState &state() const { return m_state; }

private:
    bool forwardToPeer(RequestRecord *record, EntryCommands *out);
    void dispatch(Timestamp now, TableIndex service, EntryCommands *out);
    void dispatchAll(Timestamp now, EntryCommands *out);
    void startOrEnqueue(Timestamp now, RequestRecord *record, EntryCommands *out);
    void updateDemand(TableIndex service);
    void removeUnusedEndpoints(Timestamp now);

    EntryState m_state;
    CreditHolder m_credits;
    Admission m_admission;
    EndpointMonitor m_monitor;
    AttemptLifecycle m_attempts;
    Timestamp m_lastTick;
    Timestamp m_lastCleanup;
};

} // namespace acaciafork::routing
