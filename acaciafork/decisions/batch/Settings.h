#pragma once

#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// How leases run out and how calls are repeated.
struct LeaseSettings
{
    /// A lease ends this long after its worker sent the report that the lease counts from.
    Duration leaseLength = std::chrono::seconds(30);
    /// Most by which a worker's clock may run slower than ours, in thousandths.
    std::int64_t clockMarginPermille = 10;
    /// A deposed leader may have sent calls up to this long after a new leader took over.
    Duration deposedLeaderOverlap = std::chrono::seconds(2);
    /// A worker call whose effect is not reported is repeated after this time.
    Duration callRetryInterval = std::chrono::seconds(2);
    /// A checkpoint that takes longer is given up and the task stopped.
    Duration checkpointTimeout = std::chrono::minutes(5);
    /// A worker that has not reported for this time gets no new work.
    Duration workerSilentAfter = std::chrono::seconds(5);
};

/// Bounds on the work of one tick.
struct TickSettings
{
    /// Leases proposed in one tick.
    std::int32_t placementsPerTick = 1000;
    /// Cancellations carried out in one tick.
    std::int32_t cancellationsPerTick = 1000;
    /// Fitting workers compared for one task.
    std::int32_t candidatesPerPlacement = 12;
    /// Workers checked for silence in one tick.
    std::int32_t workersSweptPerTick = 1000;
};

/// How services are spread, replaced and drained.
struct ServiceSettings
{
    /// Extra replicas that may stand while others are replaced, in thousandths of those wanted; one
    /// at least.
    std::int64_t surgePermille = 250;
    /// A new replica that is not warm after this time is given up.
    Duration warmUpTimeout = std::chrono::minutes(10);
    /// An endpoint that was told to leave and has not drained is told again after this time.
    Duration leaveRetryInterval = std::chrono::seconds(10);
};

/// How racks are emptied.
struct DrainSettings
{
    /// Tasks of one rack that may be between checkpoint and restart at once.
    std::int32_t evictionsInProgress = 200;
    /// Racks that the move empties at once.
    std::int32_t racksAtOnce = 2;
    /// What it takes to save a task and start it elsewhere; a task expected to end sooner runs out.
    Duration evictionCost = std::chrono::seconds(60);
};

/// Everything that can be set about batch policy.
struct SchedulerSettings
{
    LeaseSettings lease;
    TickSettings tick;
    ServiceSettings service;
    DrainSettings drain;
};

} // namespace acaciafork::batch
