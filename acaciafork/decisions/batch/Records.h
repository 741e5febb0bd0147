#pragma once

#include <string>
#include <vector>

#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// A batch job as its team submitted it.
struct JobRecord
{
    TaskName task;
    TeamName team;
    FamilyName family;
    /// Size that the team declared; often far from the actual usage.
    Resources declared;
    /// Run time that the team declared; zero when it declared none.
    Duration declaredRunTime {};
    /// Urgent jobs may preempt other tasks so that they start within seconds.
    bool urgent = false;
};

/// Lease of a task on a worker, as committed.
struct LeaseRecord
{
    WorkerName worker;
    LeaseEpoch epoch;
    /// Checkpoint that this lease resumes from; unset when the task starts from the beginning.
    CheckpointId checkpoint;
    /// Resources that the lease occupies on its worker.
    Resources granted;
    /// RecordStarted was committed for it.
    bool started = false;
};

/// A task in the replicated state that has not ended. Ended jobs are not restored. Service tasks
/// remain with their last epoch even while they have no lease.
struct TaskRecord
{
    JobRecord job;
    /// Service the task belongs to; empty for batch jobs.
    ServiceName service;
    /// Highest epoch ever leased; the next lease uses the epoch after it.
    LeaseEpoch lastEpoch;
    /// Latest recorded checkpoint.
    CheckpointId checkpoint;
    /// Number of recorded failures that count against the job.
    std::uint32_t failures = 0;
    /// A cancellation is committed, but the end of the task is not.
    bool cancelRequested = false;
    /// Whether `lease` is in force.
    bool leased = false;
    LeaseRecord lease;
};

/// A rack, its location and its lifecycle state.
struct RackRecord
{
    RackName rack;
    BuildingName building;
    ZoneName zone;
    RackState state = RackState::Active;
};

/// Desired replicas of a latency-critical service.
struct PlacementRecord
{
    ServiceName service;
    TeamName team;
    std::uint32_t replicas = 0;
    /// Size of each replica.
    Resources size;
    /// The placement was deleted; its tasks are to be drained.
    bool removed = false;
};

/// A team with its weight and its quota.
struct TeamRecord
{
    TeamName team;
    /// Relative share of the resources; a team of weight 2 gets twice as much as one of weight 1.
    std::uint32_t weight = 1;
    /// Maximum that the team may hold at once; an amount of zero means no limit.
    Resources quota;
};

/// The move of all work from one building to another.
struct MoveRecord
{
    BuildingName from;
    BuildingName to;
    MoveState state = MoveState::Planned;
    /// Time by which all racks of `from` must be retired.
    Timestamp deadline {};
    /// Racks of `from` in the order in which they are drained.
    std::vector<RackName> steps;
    /// Number of completed steps, counted from the first.
    std::uint32_t stepsDone = 0;
};

/// Committed state that a new leader's scheduler starts from.
struct RestoredState
{
    std::vector<TeamRecord> teams;
    std::vector<RackRecord> racks;
    std::vector<PlacementRecord> placements;
    std::vector<TaskRecord> tasks;
    /// The latest move; none when `steps` is empty.
    MoveRecord move;
};

/// Status of one task within a worker report.
struct TaskReport
{
    TaskName task;
    LeaseEpoch epoch;
    TaskStatus status = TaskStatus::Running;
    /// Latest complete checkpoint of this epoch; with status Checkpointed, the final one.
    CheckpointId checkpoint;
    /// Set only with status Failed.
    TaskFailureCause cause = TaskFailureCause::Unknown;
};

/// Complete status of a worker, numbered and sent periodically.
struct WorkerReport
{
    WorkerName worker;
    /// Increases with each restart; a restarted worker runs only the tasks that it lists.
    Incarnation incarnation;
    RackName rack;
    BuildingName building;
    ZoneName zone;
    /// Capacity for tasks.
    Resources room;
    /// Number of this report within the incarnation, from 1; lease time counts from its sending.
    std::uint64_t seq = 0;
    /// Every task that the worker runs, and every ended task that it was not told to release.
    std::vector<TaskReport> tasks;
};

/// Measured resource usage of one task over one interval.
struct TaskUsage
{
    TaskName task;
    LeaseEpoch epoch;
    /// Mean processor usage and peak memory over the interval.
    Resources used;
    /// Run time relative to running alone, in thousandths; 1000 means no interference.
    std::int32_t slowdownPermille = 1000;
    /// For service tasks: p99 latency relative to running alone, in thousandths; 0 when unknown.
    std::int32_t latencyPermille = 0;
};

/// Delayed report of resource usage; reports may be repeated or arrive out of order.
struct UsageReport
{
    WorkerName worker;
    Incarnation incarnation;
    /// Number of the latest worker report at the time of the measurement.
    std::uint64_t seq = 0;
    std::vector<TaskUsage> tasks;
};

} // namespace acaciafork::batch
