#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// Racks, with the building, availability zone and drain state of each.
class Racks
{
public:
    /// Racks by name.
    using Map = std::map<std::string, wire::Rack, std::less<>>;

    explicit Racks(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Adds a rack (expected version 0), or corrects the building and zone of an active one.
    ApplyResult put(const wire::PutRack &command, std::int64_t nowMicroseconds);

    /// Starts to drain a rack, marks it as drained, retires it or restores it.
    ApplyResult change(const wire::ChangeRack &command, std::int64_t nowMicroseconds);

    /// Returns the rack with that name, or nullptr.
    [[nodiscard]] const wire::Rack *find(std::string_view name) const;
    /// All racks.
    [[nodiscard]] const Map &all() const { return m_racks; }

    /// Appends every rack to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid rack.
    bool load(const wire::Rack &record);

private:
    const StateLimits &m_limits;
    Map m_racks;
};

/// Stable lower-case name of a rack's state.
std::string_view rackStateName(wire::RackState state);

} // namespace acaciafork::state
