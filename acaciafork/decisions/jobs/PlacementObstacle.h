#pragma once

#include <cstdint>
#include <string_view>

namespace acaciafork::jobs {

/// Why a worker gets no task of a step.
enum class PlacementObstacle : std::uint8_t {
    None,
    OtherPool,
    NotUsable, ///< see Placer::isUsable(), for other reasons than those below
    Label, ///< the worker lacks the label that the step asks for
    Processor, ///< too little processor time is free or, for a backfill task, unused
    Memory,
    Accelerators,
    Interference, ///< expected interference of a backfill task with the serving tasks there
    Paused, ///< the backfill tasks there are paused
    Throttled, ///< the backfill tasks there are throttled, and the image is not known as harmless
    Spread, ///< the worker has as many tasks of the step as it may
    Exploring, ///< the backfill image is not known beside the serving tasks there, and another
               ///< task explores it or another image
    Permit, ///< the advisor has given no permit that is valid there
    ClosedZone, ///< operators have closed the worker's zone to new starts
    Kept, ///< the worker is kept for a task of another step
    Silent, ///< the worker was not heard of for too long, or has left a renewal unanswered
    Avoided, ///< the worker has refused starts, left them unanswered, or failed its runs
    OnTrial, ///< a trial is in progress there, or the worker is kept for one
};

/// Number of values of PlacementObstacle.
inline constexpr std::size_t placementObstacleCount = 18;

/// Stable lower-case name of an obstacle, such as "interference".
std::string_view placementObstacleName(PlacementObstacle obstacle);

} // namespace acaciafork::jobs
