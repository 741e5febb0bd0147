#include "acaciafork/peers/LeaderTracker.h"

#include <algorithm>

namespace acaciafork::peers {

LeaderTracker::LeaderTracker(std::span<const ProcessId> members,
                             const LeaderTrackerSettings &settings)
    : m_settings(settings)
    , m_members(members.begin(), members.end())
{ }

void LeaderTracker::heardLeader(Timestamp now, ProcessId from)
{
    if (!moveTo(from))
        return;
    m_confirmed = true;
    m_lastHeard = now;
}

void LeaderTracker::heardTarget(Timestamp now, ProcessId from)
{
    if (m_confirmed && from == target())
        m_lastHeard = now;
}

void LeaderTracker::heardNotLeader(Timestamp now, ProcessId from, ProcessId leader)
{
    // News from a member that is not asked any more changes nothing.
    if (m_members.empty() || from != target())
        return;
    m_confirmed = false;
    m_lastHeard = now;

    // Follow the hint; without one, ask the next member.
    if (!leader || leader == from || !moveTo(leader))
        m_current = (m_current + 1) % m_members.size();
}

void LeaderTracker::tick(Timestamp now)
{
    if (m_members.empty() || now - m_lastHeard < m_settings.silence)
        return;
    m_confirmed = false;
    m_lastHeard = now;
    m_current = (m_current + 1) % m_members.size();
}

void LeaderTracker::setMembers(std::span<const ProcessId> members)
{
    const ProcessId before = target();
    m_members.assign(members.begin(), members.end());
    if (!moveTo(before)) {
        m_current = 0;
        m_confirmed = false;
    }
}

bool LeaderTracker::moveTo(ProcessId member)
{
    const auto it = std::find(m_members.begin(), m_members.end(), member);
    if (it == m_members.end())
        return false;
    m_current = static_cast<std::size_t>(it - m_members.begin());
    return true;
}

} // namespace acaciafork::peers
