#pragma once

#include <deque>
#include <queue>

#include "acaciafork/decisions/batch/HealthTracker.h"

namespace acaciafork::batch {

/// Manages each task from submission to its end: proposes leases and outcomes, sends worker calls,
/// and ensures that no two leases of a task are in force at the same time.
class TaskLifecycle
{
public:
    TaskLifecycle(Model *model, HealthTracker *health);

    /// Adds a committed task that an earlier leader managed.
    void restore(const TaskRecord &record);
    /// Adds a job; a repeated submission under a known name is ignored.
    void submit(const JobRecord &job);
    /// Marks a job as cancelled. tick() sends the call or proposes the record, a limited number
    /// each time.
    void cancel(const TaskName &name);
    /// Adds a service task without a lease.
    Index addServiceTask(const TaskName &name, Index service, Index team, const Resources &size);

    /// Proposes a lease of a queued task on a worker that has room for it.
    void lease(Index task, Index worker);
    /// Requests a checkpoint and the end of a leased task, which is stopped after `gracePeriod`.
    void evict(Index task, Duration gracePeriod);
    /// Requests the end of a leased task without a checkpoint.
    void stop(Index task);
    /// Proposes to end a queued task that can never run.
    void proposeUnschedulable(Index task, UnschedulableReason reason);

    /// Handles a task that a worker's report lists.
    /// @return true when the lease of the task is to be renewed
    bool onListed(Index worker, const TaskReport &report);
    /// Handles a task that occupies room on a worker but is missing from the worker's report.
    void onUnlisted(Index task);
    /// Handles a task whose worker does not report; ends the lease once it must have expired.
    void onWorkerSilent(Index task);
    /// Extends the expiry of a lease that is renewed based on the worker's latest report.
    void onRenewed(Index task);

    /// Handle a proposed change to a task that was committed or rejected.
    void onCommitted(const PendingChange &pending);
    void onRejected(const PendingChange &pending);

    /// Stops overdue checkpoints and processes a limited number of cancellations.
    void tick();

private:
    void applyCommitted(Index task, const LeaseTask &change);
    void applyCommitted(Index task, const RecordStopped &change);
    void applyCommitted(Index task, const RecordFinished &change);
    void applyCommitted(Index task, const RecordFailed &change);
    void applyCommitted(Index task, const RecordCancelled &change);
    void applyCommitted(Index task, const RecordUnschedulable &change);
    void applyCommitted(Index task, const RecordStarted &change);
    void applyCommitted(Index task, const RecordCheckpointed &change);
    template <typename Other>
    void applyCommitted(Index task, const Other &change);

    void onRunning(Index task, const TaskReport &report);
    void onEnded(Index task, const TaskReport &report);
    void proposeStopped(Index task, CheckpointId checkpoint);
    void proposeCancelled(Index task);
    void proposeFailed(Index task, TaskFailureCause cause);
    void sendStart(Index task);
    void sendCheckpointOrStop(Index task);
    void sendStop(const Task &task, bool release);
    void endLease(Index task);
    /// Adds the run time of the lease up to its latest checkpoint to the attained time.
    void addAttained(Task *task) const;
    /// Records the usage and run time of a finished job for later size estimates.
    void recordRunStatistics(const Task &task);
    /// Stops tasks whose checkpoint took too long.
    void stopOverdueCheckpoints();
    void removeTask(Index task);
    [[nodiscard]] Timestamp expiry(Timestamp basis) const;

    Model *m_model;
    HealthTracker *m_health;
    /// Cancelled tasks whose stop call or record has not been sent yet.
    std::deque<TaskName> m_cancelled;
    /// Time at which a task is stopped if its checkpoint has not completed.
    struct CheckpointDeadline
    {
        Timestamp at {};
        TaskName task;
        LeaseEpoch epoch;
        bool operator<(const CheckpointDeadline &o) const { return at > o.at; }
    };
    std::priority_queue<CheckpointDeadline> m_checkpointDeadlines;
};

} // namespace acaciafork::batch
