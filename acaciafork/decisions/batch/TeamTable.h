#pragma once

#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// A team and what its tasks hold now.
struct Team
{
    TeamRecord record;
    Resources used;
};

/// Teams, their quotas and their dominant shares.
class TeamTable
{
public:
    /// Team of that name, new with weight 1 and no quota when it was not seen before.
    Index intern(const TeamName &name);
    /// Adds or replaces a team's record.
    void put(const TeamRecord &record);

    Team &operator[](Index index) { return m_teams[index]; }
    const Team &operator[](Index index) const { return m_teams[index]; }
    /// How many teams there are.
    [[nodiscard]] Index size() const { return static_cast<Index>(m_teams.size()); }

    /// Changes the room that all shares are of.
    void addRoom(const Resources &room) { m_room += room; }
    void removeRoom(const Resources &room) { m_room -= room; }
    /// Room of all present workers together.
    [[nodiscard]] const Resources &room() const { return m_room; }

    /// Largest share that the team holds of any one resource, over its weight.
    [[nodiscard]] double dominantShare(Index team) const;
    /// True when the team may hold `size` more.
    [[nodiscard]] bool withinQuota(Index team, const Resources &size) const;
    /// True when the team could ever hold `size`.
    [[nodiscard]] bool withinWholeQuota(Index team, const Resources &size) const;

private:
    NameIndex<TeamName> m_names;
    std::vector<Team> m_teams;
    Resources m_room;
};

} // namespace acaciafork::batch
