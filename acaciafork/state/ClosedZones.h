#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// The availability zones that operators have closed to new starts.
class ClosedZones
{
public:
    explicit ClosedZones(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Closes or opens a zone. The outcome is "already applied" if the zone is in that state: a
    /// closed zone keeps the time and index of the order that closed it.
    /// @param[in] index position of the order in the log
    /// @param[in] nowMicroseconds time of the order, in wall-clock microseconds
    ApplyResult change(const wire::ChangeZone &command, std::uint64_t index,
                       std::int64_t nowMicroseconds);

    /// The closed zones by name.
    [[nodiscard]] const std::map<std::string, wire::ZoneClosure, std::less<>> &all() const
    {
        return m_zones;
    }

    /// Appends one record for each closed zone to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads a closed zone of a snapshot; returns false for an invalid name or a second record.
    bool load(const wire::ZoneClosure &record);

private:
    const StateLimits &m_limits;
    std::map<std::string, wire::ZoneClosure, std::less<>> m_zones;
};

} // namespace acaciafork::state
