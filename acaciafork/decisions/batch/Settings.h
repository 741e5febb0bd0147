#pragma once

#include "acaciafork/decisions/batch/InterferenceModel.h"
#include "acaciafork/decisions/batch/SizeEstimator.h"

namespace acaciafork::batch {

/// Lease expiry and repetition of worker calls.
struct LeaseSettings
{
    /// A lease ends this long after its worker sent the report that the lease is based on.
    Duration leaseLength = std::chrono::seconds(30);
    /// Maximum amount by which a worker's clock may run slower than the leader's, in thousandths.
    std::int64_t clockMarginPermille = 10;
    /// A deposed leader may still send worker calls this long after a new leader took over.
    Duration deposedLeaderOverlap = std::chrono::seconds(2);
    /// A worker call is repeated when its effect has not been reported within this time.
    Duration callRetryInterval = std::chrono::seconds(2);
    /// A checkpoint that takes longer than this is abandoned and the task is stopped.
    Duration checkpointTimeout = std::chrono::minutes(5);
    /// A worker that has not reported for longer than this gets no new work.
    Duration workerSilentAfter = std::chrono::seconds(5);
};

/// Limits on the work done in one tick.
struct TickSettings
{
    /// Maximum number of leases proposed in one tick.
    std::int32_t placementsPerTick = 1000;
    /// Maximum number of cancellations processed in one tick.
    std::int32_t cancellationsPerTick = 1000;
    /// Maximum number of suitable workers compared when placing one task.
    std::int32_t candidatesPerPlacement = 12;
    /// Maximum number of workers checked for missing reports in one tick.
    std::int32_t workersSweptPerTick = 1000;
};

/// Replacement and draining of service replicas.
struct ServiceSettings
{
    /// Maximum number of extra replicas during a replacement, in thousandths of the desired
    /// replicas; at least one.
    std::int64_t surgePermille = 250;
    /// A new replica that has not warmed up within this time is abandoned.
    Duration warmUpTimeout = std::chrono::minutes(10);
    /// The leave command is repeated when the endpoint has not drained within this time.
    Duration leaveRetryInterval = std::chrono::seconds(10);
};

/// Draining of racks.
struct DrainSettings
{
    /// Maximum number of tasks of one rack that may be between checkpoint and restart.
    std::int32_t maxConcurrentEvictions = 200;
    /// Maximum number of racks that the move drains at the same time.
    std::int32_t maxConcurrentRacks = 2;
    /// Time to checkpoint a task and restart it on another worker. A task that is expected to end
    /// sooner is left to finish.
    Duration evictionCost = std::chrono::seconds(60);
};

/// Reaction to interference of batch tasks with services.
struct PressureSettings
{
    /// Bounds on the relative increase in service latency over running alone, in thousandths. A
    /// batch task is throttled above the upper bound; the throttle is lifted below the lower bound.
    std::int64_t upperPermille = 150;
    std::int64_t lowerPermille = 80;
    /// Consecutive usage reports required to throttle, and to lift the throttle.
    std::int64_t reportsToAct = 3;
    std::int64_t reportsToRelease = 6;
    /// Minimum time between two steps on one worker. Longer than the delay of usage reports, so
    /// that the effect of a step is seen before the next one.
    Duration stepInterval = std::chrono::seconds(10);
    /// Rate limit for evictions due to interference: the burst size, and the interval after which
    /// one more eviction is allowed.
    std::int64_t evictionBurst = 10;
    Duration evictionInterval = std::chrono::seconds(20);
    /// Maximum predicted slowdown of a service that placement accepts, in thousandths.
    std::int64_t placementLimitPermille = 120;
};

/// Decisions on whether a worker or a job is at fault.
struct HealthSettings
{
    /// Consecutive failures of different jobs after which a worker is quarantined.
    std::int64_t failuresToQuarantine = 3;
    /// Delay before the first probe, doubled after each failed probe up to the maximum.
    Duration initialProbeDelay = std::chrono::minutes(1);
    Duration maxProbeDelay = std::chrono::hours(1);
    /// A job fails permanently after this many failures that count against it, or after this many
    /// failures in total.
    std::int64_t maxCountedFailures = 3;
    std::int64_t maxFailures = 10;
    /// A job that fits on no known worker is rejected after this time, which allows all workers to
    /// report.
    Duration unschedulableAfter = std::chrono::seconds(15);
};

/// Preemption for urgent tasks, and reservations that prevent starvation of large tasks.
struct PreemptionSettings
{
    /// Time that a preempted task has to write a checkpoint before it is stopped.
    Duration gracePeriod = std::chrono::milliseconds(2000);
    /// Maximum number of workers compared for one urgent task.
    std::int32_t maxCandidateWorkers = 256;
    /// Maximum number of urgent tasks for which other tasks are preempted in one tick.
    std::int32_t tasksPerTick = 64;
    /// A worker that is reserved for a task is released after this time.
    Duration reservationTimeout = std::chrono::seconds(30);
    /// A task that has waited this long gets a worker reserved for it.
    Duration starvedAfter = std::chrono::minutes(10);
    /// Maximum share of workers reserved for starved tasks, in thousandths; at least one worker.
    std::int64_t starvedWorkersPermille = 10;
};

/// All settings of the batch scheduler.
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
