#pragma once

#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// A team and the resources that its tasks currently hold.
struct Team
{
    TeamRecord record;
    Resources used;
};

/// Teams, their quotas and their dominant shares.
class TeamTable
{
public:
    /// Returns the team of that name; an unknown team is added with weight 1 and no quota.
    Index intern(const TeamName &name);
    /// Adds or replaces a team's record.
    void put(const TeamRecord &record);

    Team &operator[](Index index) { return m_teams[index]; }
    const Team &operator[](Index index) const { return m_teams[index]; }
    /// Number of teams.
    [[nodiscard]] Index size() const { return static_cast<Index>(m_teams.size()); }

    /// Adds to or subtracts from the total capacity that shares are computed from.
    void addRoom(const Resources &room) { m_room += room; }
    void removeRoom(const Resources &room) { m_room -= room; }
    /// Total capacity of all present workers.
    [[nodiscard]] const Resources &room() const { return m_room; }

    /// The team's largest share of any one resource, divided by its weight.
    [[nodiscard]] double dominantShare(Index team) const;
    /// Returns true when the team may hold `size` in addition to what it holds.
    [[nodiscard]] bool withinQuota(Index team, const Resources &size) const;
    /// Returns true when `size` alone is within the team's quota.
    [[nodiscard]] bool withinWholeQuota(Index team, const Resources &size) const;

private:
    NameIndex<TeamName> m_names;
    std::vector<Team> m_teams;
    Resources m_room;
};

} // namespace acaciafork::batch
