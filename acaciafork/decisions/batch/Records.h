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
    /// Size that the team declared; often far from the truth.
    Resources declared;
    /// Run time that the team declared; zero when it said nothing.
    Duration declaredRunTime {};
    /// Urgent work may preempt and starts within seconds.
    bool urgent = false;
};

/// Lease of a task at a worker, as committed.
struct LeaseRecord
{
    WorkerName worker;
    LeaseEpoch epoch;
    /// Checkpoint that this lease resumes from; none for a fresh start.
    CheckpointId checkpoint;
    /// Size that the lease takes at its worker.
    Resources granted;
    /// RecordStarted was committed for it.
    bool started = false;
};

/// A task in the replicated state that has not ended. Ended jobs are not restored; tasks of
/// services stay with their last epoch also while they have no lease.
struct TaskRecord
{
    JobRecord job;
    /// Service the task belongs to; empty for batch jobs.
    ServiceName service;
    /// Highest epoch ever leased; the next lease takes the one after it.
    LeaseEpoch lastEpoch;
    /// Latest recorded checkpoint.
    CheckpointId checkpoint;
    /// Failed attempts recorded.
    std::uint32_t failures = 0;
    /// A cancellation is committed but its end is not.
    bool cancelRequested = false;
    /// Whether `lease` is in force.
    bool leased = false;
    LeaseRecord lease;
};

/// A rack and where it stands.
struct RackRecord
{
    RackName rack;
    BuildingName building;
    ZoneName zone;
    RackState state = RackState::Active;
};

/// Wanted replicas of a latency-critical service.
struct PlacementRecord
{
    ServiceName service;
    TeamName team;
    std::uint32_t replicas = 0;
    /// Size of each replica.
    Resources size;
    /// The placement was deleted; its tasks are to leave.
    bool removed = false;
};

/// A team with its share and its bound.
struct TeamRecord
{
    TeamName team;
    /// Relative share; a team of weight 2 gets twice what one of weight 1 gets.
    std::uint32_t weight = 1;
    /// Most that the team may hold at once; an amount of zero is no bound.
    Resources quota;
};

/// The move of all work from one building to another.
struct MoveRecord
{
    BuildingName from;
    BuildingName to;
    MoveState state = MoveState::Planned;
    /// Moment at which all racks of `from` must be retired.
    Timestamp deadline {};
    /// Racks of `from` in the order in which they are drained.
    std::vector<RackName> steps;
    /// How many leading steps are done.
    std::uint32_t stepsDone = 0;
};

/// Everything that a new leader's scheduler starts from.
struct RestoredState
{
    std::vector<TeamRecord> teams;
    std::vector<RackRecord> racks;
    std::vector<PlacementRecord> placements;
    std::vector<TaskRecord> tasks;
    /// The latest move; none when `steps` is empty.
    MoveRecord move;
};

/// What a worker says about one of its tasks.
struct TaskReport
{
    TaskName task;
    LeaseEpoch epoch;
    TaskStatus status = TaskStatus::Running;
    /// Latest complete checkpoint of this epoch; with status Checkpointed the one it ended with.
    CheckpointId checkpoint;
    /// Only with status Failed.
    TaskFailureCause cause = TaskFailureCause::Unknown;
};

/// A worker's account of itself: whole, numbered, repeated.
struct WorkerReport
{
    WorkerName worker;
    /// Grows with each restart; a restarted worker runs only what it lists.
    Incarnation incarnation;
    RackName rack;
    BuildingName building;
    ZoneName zone;
    /// Room for tasks.
    Resources room;
    /// Number of this report within the incarnation, from 1; leases count from its sending.
    std::uint64_t seq = 0;
    /// Every task the worker holds or has ended and was not told to release.
    std::vector<TaskReport> tasks;
};

/// Measured use of one task over one interval.
struct TaskUsage
{
    TaskName task;
    LeaseEpoch epoch;
    /// Mean processor use and peak memory over the interval.
    Resources used;
    /// Run time over what the task would have taken alone, in thousandths; 1000 is undisturbed.
    std::int32_t slowdownPermille = 1000;
    /// For tasks of services: p99 latency over that of running alone, in thousandths; 0 unknown.
    std::int32_t latencyPermille = 0;
};

/// Late account of use: it may repeat, and may cross others.
struct UsageReport
{
    WorkerName worker;
    Incarnation incarnation;
    /// Number of the worker report current when the interval was measured.
    std::uint64_t seq = 0;
    std::vector<TaskUsage> tasks;
};

} // namespace acaciafork::batch
