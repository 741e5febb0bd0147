#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// How many replicas of each latency-critical service run, how large, and where they may stand.
class Placements
{
public:
    /// Placements by service.
    using Map = std::map<std::string, wire::Placement, std::less<>>;

    explicit Placements(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Sets a placement by compare-and-set; expected version 0 makes a new one.
    ApplyResult put(const wire::PutPlacement &command);
    /// Removes a placement by compare-and-set.
    ApplyResult remove(const wire::RemovePlacement &command);

    /// Placement of a service, or nullptr.
    [[nodiscard]] const wire::Placement *find(std::string_view service) const;
    /// Every placement.
    [[nodiscard]] const Map &all() const { return m_placements; }

    /// Appends every placement to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it is no valid placement.
    bool load(const wire::Placement &record);

private:
    const StateLimits &m_limits;
    Map m_placements;
};

} // namespace acaciafork::state
