#include "acaciafork/decisions/jobs/ClosedZones.h"

#include <algorithm>

namespace acaciafork::jobs {

void ClosedZones::assign(std::span<const std::string> zones)
{
    m_zones.assign(zones.begin(), zones.end());
    std::ranges::sort(m_zones);
}

bool ClosedZones::isClosed(std::string_view zone) const
{
    return !m_zones.empty() && std::ranges::binary_search(m_zones, zone);
}

} // namespace acaciafork::jobs
