#pragma once

#include <vector>

#include "acaciafork/decisions/routing/Admission.h"
#include "acaciafork/decisions/routing/CreditHolder.h"
#include "acaciafork/decisions/routing/EndpointMonitor.h"
#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"
#include "acaciafork/decisions/routing/Router.h"

namespace acaciafork::routing {

/// Starts attempts, tracks them until they have ended at the endpoint, and decides whether the
/// request is then answered, retried or refused.
class AttemptLifecycle
{
public:
    /// @param[in] state, admission, credits, monitor must outlive this object
    AttemptLifecycle(EntryState *state, Admission *admission, CreditHolder *credits,
                     EndpointMonitor *monitor);

    /// Assigns a slot to the request and starts it. A request that must run at most once is first
    /// recorded in the ledger.
    /// @return false when no slot is available; nothing has changed then
    bool start(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// Handles the answer of the ledger to AskLedger.
    void ledgerVerdict(Timestamp now, RequestRecord *record, LedgerVerdict verdict,
                       EntryCommands *out);

    /// Handles the status and header fields of an answer. Passes the answer on, unless it is an
    /// error that will be retried.
    void headersReceived(Timestamp now, AttemptId attempt, bool endpointError, EntryCommands *out);

    /// Handles the end of an attempt as reported by the endpoint client.
    void attemptEnded(Timestamp now, AttemptId attempt, const AttemptEnd &end, EntryCommands *out);

    /// Returns the requests to retry, already charged to the retry budget, and clears the list.
    std::vector<RequestRecord *> takeRetries();

    /// Abandons the attempt of a started request whose caller has disconnected.
    void abandon(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// Frees the slot of a lingering attempt that is known to have ended at the endpoint.
    void release(AttemptId attempt, EntryCommands *out);

    /// Reclassifies as long work the attempts that started as short work and have run for longer
    /// than `shortWork`.
    void reclassifyLongRunning(Timestamp now, TableIndex service);

    /// Retries the idempotent requests of an unreachable endpoint at other endpoints.
    void retryElsewhere(Timestamp now, TableIndex endpoint, EntryCommands *out);

private:
    void send(const AttemptRecord &attempt, EntryCommands *out);
    void finish(RequestRecord *record, LedgerEnd end, EntryCommands *out);
    void markLingering(Timestamp now, AttemptRecord *attempt);
    void removeAttempt(AttemptRecord *attempt, bool connectionKept);
    void recordOutcome(Timestamp now, const AttemptRecord &attempt, const AttemptEnd &end,
                       EntryCommands *out);
    void retryOrFinish(Timestamp now, RequestRecord *record, const AttemptEnd &end,
                       EntryCommands *out);
    bool tryTakeRetry(Timestamp now, const RequestRecord &record);

    EntryState *m_state;
    Admission *m_admission;
    CreditHolder *m_credits;
    EndpointMonitor *m_monitor;
    Router m_router;
    std::vector<RequestRecord *> m_retries;
};

} // namespace acaciafork::routing
