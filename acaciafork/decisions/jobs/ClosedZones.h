#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace acaciafork::jobs {

/// The availability zones in which nothing may start, for the load of a zone that is evacuated
/// while its workers still run tasks and report free capacity.
class ClosedZones
{
public:
    /// Replaces the set.
    void assign(std::span<const std::string> zones);

    /// True when nothing may start on the workers of the zone.
    [[nodiscard]] bool isClosed(std::string_view zone) const;

    [[nodiscard]] std::size_t size() const { return m_zones.size(); }

private:
    /// Sorted.
    std::vector<std::string> m_zones;
};

} // namespace acaciafork::jobs
