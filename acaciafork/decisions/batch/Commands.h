#pragma once

#include <variant>
#include <vector>

#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// Durable: leases a task to a worker under a new epoch. The replicated state accepts it only when
/// the task has no lease and the epoch follows the last one. The first lease of a service task
/// creates the task.
struct LeaseTask
{
    TaskName task;
    /// Empty for batch jobs.
    ServiceName service;
    WorkerName worker;
    LeaseEpoch epoch;
    CheckpointId checkpoint;
    Resources granted;
};

/// Durable: the worker has started the task.
struct RecordStarted
{
    TaskName task;
    LeaseEpoch epoch;
};

/// Durable: a running task has a newer checkpoint.
struct RecordCheckpointed
{
    TaskName task;
    LeaseEpoch epoch;
    CheckpointId checkpoint;
};

/// Durable: the lease ended without an outcome; the task is queued again.
struct RecordStopped
{
    TaskName task;
    LeaseEpoch epoch;
    /// Checkpoint from which the next lease resumes.
    CheckpointId checkpoint;
};

/// Durable: the task finished successfully.
struct RecordFinished
{
    TaskName task;
    LeaseEpoch epoch;
};

/// Durable: the attempt failed and the lease ends. With `last` set, the task fails permanently.
struct RecordFailed
{
    TaskName task;
    LeaseEpoch epoch;
    TaskFailureCause cause = TaskFailureCause::Unknown;
    /// Whether the failure counts towards the job's limit; false when the job is not at fault.
    bool counted = true;
    bool last = false;
};

/// Durable: a cancelled task no longer runs on any worker.
struct RecordCancelled
{
    TaskName task;
    LeaseEpoch epoch;
};

/// Durable: the task can never run.
struct RecordUnschedulable
{
    TaskName task;
    UnschedulableReason reason = UnschedulableReason::None;
};

/// Durable: a draining rack is empty.
struct RackDrained
{
    RackName rack;
};

/// Durable: a retiring rack is empty and accepts no more work.
struct RackRetired
{
    RackName rack;
};

/// Durable: the first `stepsDone` racks of the move are retired. The move is finished once all of
/// its racks are retired.
struct MoveStepDone
{
    std::uint32_t stepsDone = 0;
};

/// Any durable change.
using DurableChange = std::variant<LeaseTask, RecordStarted, RecordCheckpointed, RecordStopped,
                                   RecordFinished, RecordFailed, RecordCancelled,
                                   RecordUnschedulable, RackDrained, RackRetired, MoveStepDone>;

/// Durable change to replicate; answered by exactly one CommandCommitted or CommandRejected.
struct Propose
{
    ProposalId proposal;
    DurableChange change;
};

/// Worker report that a lease is based on. The worker accepts a start or renewal only in the same
/// incarnation, and the lease ends `leaseLength` after the worker sent that report.
struct LeaseBasis
{
    Incarnation incarnation;
    std::uint64_t seq = 0;
    Duration leaseLength {};
};

/// A task and one of its lease epochs.
struct TaskEpoch
{
    TaskName task;
    LeaseEpoch epoch;
};

/// Worker call: run a task. The call is idempotent per epoch.
struct StartTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
    CheckpointId checkpoint;
    /// The worker limits the task to this size.
    Resources granted;
    LeaseBasis basis;
};

/// Worker call: extend the leases of tasks that the worker reported as running.
struct RenewLease
{
    CallId call;
    WorkerName worker;
    std::vector<TaskEpoch> tasks;
    LeaseBasis basis;
};

/// Worker call: limit a task to a share of its granted processor time.
struct ThrottleTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
    /// Share of the granted processor time, in thousandths; 1000 removes the throttle.
    std::int32_t permille = 1000;
};

/// Worker call: checkpoint the task and end it; the worker then reports it as Checkpointed.
struct CheckpointTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
};

/// Worker call: end the task and reject later starts of this epoch or a lower one. The worker
/// lists the epoch as Stopped even when it never received the start.
struct StopTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
    /// The outcome is committed, so the worker may drop the ended task from its reports.
    bool release = false;
};

/// Tells the endpoint of a service task to leave and drain. Answered by EndpointDrained,
/// immediately when the task has no endpoint. Repeated until answered.
struct EndpointLeave
{
    TaskName task;
};

/// Any command that the scheduler issues to its driver.
using Command = std::variant<Propose, StartTask, RenewLease, ThrottleTask, CheckpointTask, StopTask,
                             EndpointLeave>;

} // namespace acaciafork::batch
