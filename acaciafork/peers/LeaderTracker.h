#pragma once

#include <span>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::peers {

/// How long a control member may be silent before another one is asked.
struct LeaderTrackerSettings
{
    /// Silence after which the next member is tried.
    Duration silence = std::chrono::milliseconds(600);
};

/// Knows which control member to talk to. Pure: it is told what was heard and when.
class LeaderTracker
{
public:
    /// @param[in] members the control members; may be empty until they are found
    LeaderTracker(std::span<const ProcessId> members, const LeaderTrackerSettings &settings);

    /// Member that messages for the leader go to now; none while no member is known.
    [[nodiscard]] ProcessId target() const
    {
        return m_members.empty() ? ProcessId {} : m_members[m_current];
    }

    /// True when the target has answered as leader and has not been silent since.
    [[nodiscard]] bool confirmed() const { return m_confirmed; }

    /// `from` has answered something else; it counts as a sign of life of a confirmed target.
    void heardTarget(Timestamp now, ProcessId from);

    /// `from` has answered as the leader.
    void heardLeader(Timestamp now, ProcessId from);

    /// `from` says that it does not lead; `leader` is the one it follows, or none.
    void heardNotLeader(Timestamp now, ProcessId from, ProcessId leader);

    /// Moves to the next member when the target has been silent too long.
    void tick(Timestamp now);

    /// Replaces the list of members, as after a membership change.
    void setMembers(std::span<const ProcessId> members);

private:
    bool moveTo(ProcessId member);

    LeaderTrackerSettings m_settings;
    std::vector<ProcessId> m_members;
    std::size_t m_current = 0;
    bool m_confirmed = false;
    Timestamp m_lastHeard;
};

} // namespace acaciafork::peers
