#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"

namespace acaciafork::routing {

/// Takes failing endpoints out of service and restores them: holds an endpoint off briefly after a
/// failed connect, ejects it after repeated failures while enough of the service stays available,
/// and probes endpoints that are ejected or do not answer.
class EndpointMonitor
{
public:
    /// @param[in] state must outlive this object
    explicit EndpointMonitor(EntryState *state);

    /// Records a failed attempt, and ejects the endpoint when it has failed too often.
    /// @return true when the endpoint is unreachable and its requests should be retried elsewhere
    bool recordFailure(Timestamp now, const AttemptRecord &attempt, AttemptOutcome outcome,
                       EntryCommands *out);

    /// Restores endpoints whose hold-off after a failed connect has passed.
    void endHoldOffs(Timestamp now);

    /// Sends the probes that are due: to endpoints whose ejection time has passed, and to those
    /// that have left a request unanswered for much longer than its route usually takes.
    void probe(Timestamp now, EntryCommands *out);

    /// Handles the result of a probe.
    /// @return true when the endpoint is unreachable and its requests should be retried elsewhere
    bool probeEnded(Timestamp now, TableIndex endpoint, bool reached, EntryCommands *out);

    /// Drops the state of an endpoint that is about to be removed from the table.
    void forget(TableIndex endpoint);

private:
    void eject(Timestamp now, TableIndex endpoint, EntryCommands *out);
    void probeSuspects(Timestamp now, EntryCommands *out);
    bool sendProbe(Timestamp now, TableIndex endpoint, EntryCommands *out);

    EntryState *m_state;
    Timestamp m_lastSuspectScan;
    /// Endpoints held off after a failed connect, with the time at which that ends, ordered by
    /// time.
    std::deque<std::pair<Timestamp, TableIndex>> m_heldOff;
    /// Ejected endpoints.
    std::vector<TableIndex> m_ejected;
};

} // namespace acaciafork::routing
