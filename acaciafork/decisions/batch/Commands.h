#pragma once

#include <variant>
#include <vector>

#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// Durable: gives a task to a worker under a new epoch. The state accepts it only when the task has
/// no lease and the epoch is the one after the last. A task of a service is made by its first
/// lease.
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

/// Durable: the worker runs the task.
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

/// Durable: the lease has ended without an outcome; the task is queued again.
struct RecordStopped
{
    TaskName task;
    LeaseEpoch epoch;
    /// Checkpoint that the next lease resumes from.
    CheckpointId checkpoint;
};

/// Durable: the task is done.
struct RecordFinished
{
    TaskName task;
    LeaseEpoch epoch;
};

/// Durable: the attempt failed. The lease ends; with `last` the task has failed for good.
struct RecordFailed
{
    TaskName task;
    LeaseEpoch epoch;
    TaskFailureCause cause = TaskFailureCause::Unknown;
    /// Whether the failure counts as an attempt of the job, and not against the worker.
    bool counted = true;
    bool last = false;
};

/// Durable: a cancelled task runs nowhere any more.
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

/// Durable: a rack that was to drain is empty.
struct RackDrained
{
    RackName rack;
};

/// Durable: a rack that was to retire is empty and takes no work any more.
struct RackRetired
{
    RackName rack;
};

/// Durable: the first `stepsDone` racks of the move are retired. With all of them the move is
/// finished.
struct MoveStepDone
{
    std::uint32_t stepsDone = 0;
};

/// Any durable change.
using DurableChange = std::variant<LeaseTask, RecordStarted, RecordCheckpointed, RecordStopped,
                                   RecordFinished, RecordFailed, RecordCancelled,
                                   RecordUnschedulable, RackDrained, RackRetired, MoveStepDone>;

/// Durable change to replicate; answered by one CommandCommitted or CommandRejected.
struct Propose
{
    ProposalId proposal;
    DurableChange change;
};

/// Report of a worker from whose sending a lease counts. A worker takes a start or a renewal only
/// in that incarnation, and the lease ends `leaseLength` after it sent that report.
struct LeaseBasis
{
    Incarnation incarnation;
    std::uint64_t seq = 0;
    Duration leaseLength {};
};

/// A task at one epoch.
struct TaskEpoch
{
    TaskName task;
    LeaseEpoch epoch;
};

/// Worker call: run a task. Repeats of one epoch have one effect.
struct StartTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
    CheckpointId checkpoint;
    /// The worker holds the task to this size.
    Resources granted;
    LeaseBasis basis;
};

/// Worker call: extends the leases of tasks that the worker reported running.
struct RenewLease
{
    CallId call;
    WorkerName worker;
    std::vector<TaskEpoch> tasks;
    LeaseBasis basis;
};

/// Worker call: holds a task to a part of its processor time.
struct ThrottleTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
    /// Share of the granted processor time, in thousandths; 1000 lifts the throttle.
    std::int32_t permille = 1000;
};

/// Worker call: save the task's progress and end it; reported as Checkpointed.
struct CheckpointTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
};

/// Worker call: end the task, and take no start of this epoch or a lower one any more. The worker
/// lists the epoch as Stopped, also when it never knew it.
struct StopTask
{
    CallId call;
    WorkerName worker;
    TaskName task;
    LeaseEpoch epoch;
    /// The outcome is recorded: the worker may drop an ended task from its reports.
    bool release = false;
};

/// Tells the endpoint of a service task to leave; answered by EndpointDrained, at once when the
/// task has no endpoint. Repeated until answered.
struct EndpointLeave
{
    TaskName task;
};

/// Anything that the scheduler wants done.
using Command = std::variant<Propose, StartTask, RenewLease, ThrottleTask, CheckpointTask, StopTask,
                             EndpointLeave>;

} // namespace acaciafork::batch
