#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// For each latency-critical service: the number and size of its replicas, and the buildings in
/// which they may run.
class Placements
{
public:
    /// Placements by service.
    using Map = std::map<std::string, wire::Placement, std::less<>>;

    explicit Placements(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Sets a placement by compare-and-set; expected version 0 creates it.
    ApplyResult put(const wire::PutPlacement &command);
    /// Removes a placement by compare-and-set.
    ApplyResult remove(const wire::RemovePlacement &command);

    /// Returns the placement of a service, or nullptr.
    [[nodiscard]] const wire::Placement *find(std::string_view service) const;
    /// All placements.
    [[nodiscard]] const Map &all() const { return m_placements; }

    /// Appends every placement to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid placement.
    bool load(const wire::Placement &record);

private:
    const StateLimits &m_limits;
    Map m_placements;
};

} // namespace acaciafork::state
