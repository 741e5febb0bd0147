#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "acaciafork/decisions/routing/Admission.h"
#include "acaciafork/decisions/routing/CreditHolder.h"
#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"
#include "acaciafork/decisions/routing/Router.h"

namespace acaciafork::routing {

/// Starts attempts, follows them to their end at the endpoint, and decides what the end means for
/// the request.
class AttemptFlow
{
public:
    /// @param[in] state, admission, credits outlive the flow
    AttemptFlow(EntryState *state, Admission *admission, CreditHolder *credits);

    /// Gives the request a slot and starts it, by way of the ledger if it must run at most once.
    /// @return false when no slot is free; nothing has changed then
    bool start(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// The ledger has answered.
    void ledgerVerdict(Timestamp now, RequestRecord *record, LedgerVerdict verdict,
                       EntryCommands *out);

    /// Answer headers have come.
    void headers(Timestamp now, AttemptId attempt, bool endpointError, EntryCommands *out);

    /// The port reports an end.
    void ended(Timestamp now, AttemptId attempt, const AttemptEnd &end, EntryCommands *out);

    /// Hands over the requests that are to be tried again, already paid for.
    std::vector<RequestRecord *> takeRetries();

    /// The caller of a started request has gone.
    void abandon(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// The endpoint is known to have ended a lingering attempt.
    void release(AttemptId attempt, EntryCommands *out);

    /// Counts short work that has run for long as long work.
    void countLongRunning(Timestamp now, TableIndex service);

    /// Puts endpoints back into service that were held off after a failed connect.
    void endHoldOffs(Timestamp now);

    /// Forgets an endpoint that is about to leave the table.
    void forget(TableIndex endpoint);

    /// A probe of an ejected endpoint has ended.
    void probeEnded(Timestamp now, TableIndex endpoint, bool reached, EntryCommands *out);

    /// Sends the probes that are due: to ejected endpoints whose time is over, and to those that
    /// leave a request without an answer for much longer than its route takes.
    void probe(Timestamp now, EntryCommands *out);

private:
    void send(const AttemptRecord &attempt, EntryCommands *out);
    void finish(RequestRecord *record, LedgerEnd end, EntryCommands *out);
    void linger(Timestamp now, AttemptRecord *attempt);
    void free(AttemptRecord *attempt, bool connectionKept);
    void judge(Timestamp now, const AttemptRecord &attempt, const AttemptEnd &end,
               EntryCommands *out);
    void eject(Timestamp now, TableIndex endpoint, EntryCommands *out);
    void decide(Timestamp now, RequestRecord *record, const AttemptEnd &end, EntryCommands *out);
    void probeSuspects(Timestamp now, EntryCommands *out);
    bool sendProbe(Timestamp now, TableIndex endpoint, EntryCommands *out);
    void evacuate(Timestamp now, TableIndex endpoint, EntryCommands *out);
    bool mayRetry(Timestamp now, const RequestRecord &record);

    EntryState *m_state;
    Admission *m_admission;
    CreditHolder *m_credits;
    Router m_router;
    std::vector<RequestRecord *> m_retries;
    Timestamp m_suspectedAt;
    /// Rows held off after a failed connect, with the time of their end, in order of time.
    std::deque<std::pair<Timestamp, TableIndex>> m_heldOff;
    /// Rows of the ejected endpoints.
    std::vector<TableIndex> m_ejected;
};

} // namespace acaciafork::routing
