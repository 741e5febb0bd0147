#pragma once

#include "benchmarks/batch/fakes/Session.h"

namespace acaciafork::batch::fakes {

/// What one move showed.
struct MoveFigures
{
    /// From the start until the last rack was retired, in minutes; negative when it did not end.
    double minutes = -1;
    /// Least time that the destination's room and the checkpoints allow, in minutes.
    double boundMinutes = 0;
    std::uint64_t evictions = 0;
    /// Time that moved jobs stood still between two leases, all together, in hours.
    double standstillHours = 0;
    /// Fewest warm replicas of a service at any moment, of those wanted.
    std::uint32_t leastWarm = 0;
    std::uint32_t wanted = 0;
    std::uint64_t violations = 0;
    /// Racks that were retired while something ran there.
    std::uint64_t retiredInUse = 0;
    std::uint64_t finished = 0;
    /// Samples of the projection, and those in which the true end lay within its bounds.
    int projections = 0;
    int projectionsHeld = 0;
};

/// How a move is run.
struct MoveOptions
{
    std::uint64_t seed = 1;
    /// Workers of the building that is left, and of the one moved to.
    int fromWorkers = 66;
    int toWorkers = 44;
    /// New jobs keep coming during the move.
    bool arrivals = false;
    /// Changes of leader, pauses, lost messages and lost workers during the move.
    bool faults = false;
    bool baseline = false;
    SchedulerSettings settings;
};

/// Moves a full building.
MoveFigures runMove(const MoveOptions &options);

} // namespace acaciafork::batch::fakes
