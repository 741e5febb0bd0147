#pragma once

#include "acaciafork/decisions/batch/InterferenceModel.h"
#include "acaciafork/decisions/batch/SizeEstimator.h"

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
    std::int32_t maxConcurrentEvictions = 200;
    /// Racks that the move empties at once.
    std::int32_t maxConcurrentRacks = 2;
    /// What it takes to save a task and start it elsewhere; a task expected to end sooner runs out.
    Duration evictionCost = std::chrono::seconds(60);
};

/// When disturbance of services is acted upon.
struct PressureSettings
{
    /// Latency over that of running alone, less one, in thousandths: above it a task is held back,
    /// below the lower bound it is let go.
    std::int64_t upperPermille = 150;
    std::int64_t lowerPermille = 80;
    /// Usage reports in a row that it takes to act, and to let go.
    std::int64_t reportsToAct = 3;
    std::int64_t reportsToRelease = 6;
    /// Least time between two steps at one worker; longer than use is reported late.
    Duration stepInterval = std::chrono::seconds(10);
    /// Evictions for disturbance: so many in a burst, and one more after each interval.
    std::int64_t evictionBurst = 10;
    Duration evictionInterval = std::chrono::seconds(20);
    /// Slowdown of a service that placement does not foresee knowingly, in thousandths.
    std::int64_t placementLimitPermille = 120;
};

/// When workers and jobs are taken to be at fault.
struct HealthSettings
{
    /// Different jobs in a row that fail at a worker before it is quarantined.
    std::int64_t failuresToQuarantine = 3;
    /// Wait before the first probe; doubled after each failed one.
    Duration initialProbeDelay = std::chrono::minutes(1);
    Duration maxProbeDelay = std::chrono::hours(1);
    /// Failures that count against a job before it has failed for good, and failures in all.
    std::int64_t maxCountedFailures = 3;
    std::int64_t maxFailures = 10;
    /// A job that no worker could hold is refused after workers had this long to report.
    Duration unschedulableAfter = std::chrono::seconds(15);
};

/// How urgent work gets room, and large work is kept from starving.
struct PreemptionSettings
{
    /// Time that a preempted task has for a checkpoint before it is stopped.
    Duration gracePeriod = std::chrono::milliseconds(2000);
    /// Workers weighed for one urgent task.
    std::int32_t maxCandidateWorkers = 256;
    /// Urgent tasks that room is made for in one tick.
    std::int32_t tasksPerTick = 64;
    /// A worker kept clear for a task is released after this time.
    Duration reservationTimeout = std::chrono::seconds(30);
    /// A task that waited this long gets a worker kept clear for it.
    Duration starvedAfter = std::chrono::minutes(10);
    /// Workers that may be kept clear for starved tasks, in thousandths of all; one at least.
    std::int64_t starvedWorkersPermille = 10;
};

/// Everything that can be set about batch policy.
struct SchedulerSettings
{
    LeaseSettings lease;
    TickSettings tick;
    ServiceSettings service;
    DrainSettings drain;
    SizeSettings size;
    InterferenceSettings interference;
    PressureSettings pressure;
    HealthSettings health;
    PreemptionSettings preemption;
};

} // namespace acaciafork::batch
