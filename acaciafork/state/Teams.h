#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// Teams, with their token digests, quotas and weights.
class Teams
{
public:
    /// Teams by name.
    using Map = std::map<std::string, wire::Team, std::less<>>;

    explicit Teams(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Sets a team by compare-and-set; expected version 0 creates it.
    ApplyResult put(const wire::PutTeam &command);

    /// Returns the team with that name, or nullptr.
    [[nodiscard]] const wire::Team *find(std::string_view name) const;
    /// All teams.
    [[nodiscard]] const Map &all() const { return m_teams; }

    /// Appends every team to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid team.
    bool load(const wire::Team &record);

private:
    const StateLimits &m_limits;
    Map m_teams;
};

} // namespace acaciafork::state
