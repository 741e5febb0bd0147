#pragma once

#include <vector>

#include "acaciafork/decisions/routing/Admission.h"
#include "acaciafork/decisions/routing/CreditHolder.h"
#include "acaciafork/decisions/routing/EndpointMonitor.h"
#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"
#include "acaciafork/decisions/routing/Router.h"

namespace acaciafork::routing {

/// Starts attempts, follows them to their end at the endpoint, and decides what the end means for
/// the request.
class AttemptLifecycle
{
public:
    /// @param[in] state, admission, credits, watch outlive the flow
    AttemptLifecycle(EntryState *state, Admission *admission, CreditHolder *credits,
                     EndpointMonitor *monitor);

    /// Gives the request a slot and starts it, by way of the ledger if it must run at most once.
    /// @return false when no slot is free; nothing has changed then
    bool start(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// The ledger has answered.
    void ledgerVerdict(Timestamp now, RequestRecord *record, LedgerVerdict verdict,
                       EntryCommands *out);

    /// Answer headers have come.
    void headersReceived(Timestamp now, AttemptId attempt, bool endpointError, EntryCommands *out);

    /// The port reports an end.
    void ended(Timestamp now, AttemptId attempt, const AttemptEnd &end, EntryCommands *out);

    /// Hands over the requests that are to be tried again, already paid for.
    std::vector<RequestRecord *> takeRetries();

    /// The caller of a started request has gone.
    void abandon(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// The endpoint is known to have ended a lingering attempt.
    void release(AttemptId attempt, EntryCommands *out);

    /// Counts short work that has run for long as long work.
    void reclassifyLongRunning(Timestamp now, TableIndex service);

    /// Tries the idempotent attempts at an endpoint that can't be reached elsewhere.
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
