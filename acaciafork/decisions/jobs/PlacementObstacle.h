#pragma once

#include <cstdint>
#include <string_view>

namespace acaciafork::jobs {

/// Why a worker gets no task of a step.
enum class PlacementObstacle : std::uint8_t {
    None,
    OtherPool,
    NotUsable, ///< see Placer::isUsable()
    Label, ///< the worker lacks the label that the step asks for
    Processor, ///< too little processor time is free or, for a backfill task, unused
    Memory,
    Accelerators,
    Interference, ///< expected interference of a backfill task with the serving tasks there
    Paused, ///< the backfill tasks there are paused
    Throttled, ///< the backfill tasks there are throttled, and the image is not known as harmless
    Spread, ///< the worker has as many tasks of the step as it may
    Permit, ///< the advisor has given no permit that is valid there
    ClosedZone, ///< operators have closed the worker's zone to new starts
};

/// Number of values of PlacementObstacle.
inline constexpr std::size_t placementObstacleCount = 13;

/// Stable lower-case name of an obstacle, such as "interference".
std::string_view placementObstacleName(PlacementObstacle obstacle);

} // namespace acaciafork::jobs
