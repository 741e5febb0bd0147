#pragma once

#include <cstdint>

#include "acaciafork/core/Core.h"
#include "acaciafork/peers/Peers.h"

namespace acaciafork::control {

/// Where the time of a control member's loop goes: sums since the last summary, for the log.
class LoopLoad
{
public:
    /// Adds a turn: the time taken by the decisions at its end, and by the agreement's messages and
    /// applied entries.
    void addTurn(Duration decisions, Duration agreement);
    /// Adds how much later than due a tick came.
    void addLag(Duration lag);

    /// Logs the sums and starts anew, every 2 s.
    /// @param[in] syncs, syncTime writes of the agreement so far and the time they took
    /// @param[in] link its message delays are taken when the log is due
    void logIfDue(Timestamp now, bool isLeader, std::int64_t syncs, Duration syncTime,
                  peers::PeerLink *link);

private:
    /// Sums since the last summary.
    struct Sums
    {
        std::uint64_t turns = 0;
        Duration decisions {};
        Duration agreement {};
        std::uint64_t ticks = 0;
        Duration lag {};
        Duration longestLag {};
    };

    Sums m_sums;
    Timestamp m_since;
    Timestamp m_nextLog;
    Duration m_processorTime {};
    std::int64_t m_syncs = 0;
    Duration m_syncTime {};
};

} // namespace acaciafork::control
