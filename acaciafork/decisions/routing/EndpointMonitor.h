#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"

namespace acaciafork::routing {

/// Takes endpoints out of service that fail, and brings them back: short holds after a failed
/// connect, ejection down to a floor, probes of those that are ejected or silent.
class EndpointMonitor
{
public:
    /// @param[in] state outlives the watch
    explicit EndpointMonitor(EntryState *state);

    /// Notes an attempt that failed by the endpoint's doing.
    /// @return true when the endpoint can't be reached and its attempts should go elsewhere
    bool recordFailure(Timestamp now, const AttemptRecord &attempt, AttemptOutcome outcome,
                       EntryCommands *out);

    /// Puts endpoints back into service that were held off after a failed connect.
    void endHoldOffs(Timestamp now);

    /// Sends the probes that are due: to ejected endpoints whose time is over, and to those that
    /// leave a request without an answer for much longer than its route takes.
    void probe(Timestamp now, EntryCommands *out);

    /// A probe has ended.
    /// @return true when the endpoint can't be reached and its attempts should go elsewhere
    bool probeEnded(Timestamp now, TableIndex endpoint, bool reached, EntryCommands *out);

    /// Forgets an endpoint that is about to leave the table.
    void forget(TableIndex endpoint);

private:
    void eject(Timestamp now, TableIndex endpoint, EntryCommands *out);
    void probeSuspects(Timestamp now, EntryCommands *out);
    bool sendProbe(Timestamp now, TableIndex endpoint, EntryCommands *out);

    EntryState *m_state;
    Timestamp m_lastSuspectScan;
    /// Rows held off after a failed connect, with the time of their end, in order of time.
    std::deque<std::pair<Timestamp, TableIndex>> m_heldOff;
    /// Rows of the ejected endpoints.
    std::vector<TableIndex> m_ejected;
};

} // namespace acaciafork::routing
