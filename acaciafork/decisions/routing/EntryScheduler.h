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

/// How a request ended that was passed to a peer entry.
enum class ForwardOutcome : std::uint8_t {
    Answered, ///< the peer's answer went to the caller, whole
    NotRun, ///< the peer refused it, or could not be reached before a byte had left
    Unknown, ///< anything else
};

/// All decisions of an entry about callers' requests. Each event appends the commands that follow
/// from it; the caller carries them out in order and reports what came of them as further events.
class EntryScheduler
{
public:
    /// @param[in] options who this entry is
    explicit EntryScheduler(const EntryOptions &options);

    EntryScheduler(const EntryScheduler &) = delete;
    EntryScheduler &operator=(const EntryScheduler &) = delete;

    /// A caller's request has come whole. It is answered by ForwardAnswer, AnswerNotRun or
    /// AnswerUnknown, or passed on by ForwardToPeer.
    void requestArrived(Timestamp now, const RequestInfo &info, EntryCommands *out);

    /// The status and headers of an attempt's answer have come; the port holds them back until
    /// ForwardAnswer. Not to be called for an answer which says that the work did not begin.
    /// @param[in] endpointError true for a status of 500 or above
    void attemptHeaders(Timestamp now, AttemptId attempt, bool endpointError, EntryCommands *out);

    /// An attempt has ended, as far as the port can see. After a timeout or AbandonAttempt the
    /// port keeps the connection and reports a second time once it ends.
    void attemptEnded(Timestamp now, AttemptId attempt, const AttemptEnd &end, EntryCommands *out);

    /// The caller has gone away, or its answer could not be written.
    void callerGone(Timestamp now, RequestId request, EntryCommands *out);

    /// A request passed to a peer has ended there.
    void forwardEnded(Timestamp now, RequestId request, ForwardOutcome outcome, EntryCommands *out);

    /// The control leader has sent a grant.
    void grantReceived(Timestamp now, const CreditGrant &grant, EntryCommands *out);

    /// An endpoint has announced itself at this entry.
    void endpointAnnounced(Timestamp now, const EndpointAnnouncement &announcement,
                           EntryCommands *out);

    /// A peer entry or the leader says that an endpoint leaves.
    void endpointLeaving(Timestamp now, const LeavingNotice &notice, EntryCommands *out);

    /// A probe of an ejected endpoint has ended. @param[in] reached true when it accepted
    void probeEnded(Timestamp now, const EndpointName &endpoint, bool reached, EntryCommands *out);

    /// A connection that no attempt held has been closed, by either side.
    void connectionClosed(Timestamp now, const EndpointName &endpoint, EntryCommands *out);

    /// The ledger has answered AskLedger.
    void ledgerVerdict(Timestamp now, RequestId request, LedgerVerdict verdict, EntryCommands *out);

    /// A configuration is in force.
    void configApplied(Timestamp now, std::span<const ServiceSettings> services,
                       EntryCommands *out);

    /// The leader of a term can be reached.
    void controlLeaderFound(Timestamp now, std::uint64_t term, EntryCommands *out);

    /// No leader can be reached.
    void controlLeaderLost(Timestamp now, EntryCommands *out);

    /// Shutting down: nothing new is accepted, what is in progress is finished.
    void drain(Timestamp now, EntryCommands *out);

    /// Time has passed; to be called about every 10 ms.
    void tick(Timestamp now, EntryCommands *out);

    /// Requests not yet given their final answer.
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
