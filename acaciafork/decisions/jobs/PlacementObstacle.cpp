#include "acaciafork/decisions/jobs/PlacementObstacle.h"

#include <array>

namespace acaciafork::jobs {

std::string_view placementObstacleName(PlacementObstacle obstacle)
{
    static constexpr std::array<std::string_view, placementObstacleCount> names {
        "none",         "other-pool",   "not-usable", "label",     "processor", "memory",
        "accelerators", "interference", "paused",     "throttled", "spread",    "exploring",
        "permit",       "closed-zone",  "kept",       "silent",    "avoided",   "on-trial",
    };
    return names.at(static_cast<std::size_t>(obstacle));
}

} // namespace acaciafork::jobs
