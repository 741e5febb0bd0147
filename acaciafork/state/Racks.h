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

/// Racks, the building each stands in, and how far each is drained.
class Racks
{
public:
    /// Racks by name.
    using Map = std::map<std::string, wire::Rack, std::less<>>;

    explicit Racks(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Makes a rack known (expected version 0), or corrects building and zone of an active one.
    ApplyResult put(const wire::PutRack &command, std::int64_t nowMicroseconds);

    /// Drains, marks as drained, retires or restores a rack.
    ApplyResult change(const wire::ChangeRack &command, std::int64_t nowMicroseconds);

    /// Rack of that name, or nullptr.
    [[nodiscard]] const wire::Rack *find(std::string_view name) const;
    /// Every rack.
    [[nodiscard]] const Map &all() const { return m_racks; }

    /// Appends every rack to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it is no valid rack.
    bool load(const wire::Rack &record);

private:
    const StateLimits &m_limits;
    Map m_racks;
};

/// Stable lower-case name of a rack's state.
std::string_view rackStateName(wire::RackState state);

} // namespace acaciafork::state
