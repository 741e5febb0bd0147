#pragma once

#include <deque>
#include <queue>

#include "acaciafork/decisions/batch/HealthTracker.h"

namespace acaciafork::batch {

/// Carries each task from submission to its end: proposes leases and outcomes, sends the worker
/// calls, and never lets two leases of one task be in force at once.
class TaskLifecycle
{
public:
    TaskLifecycle(Model *model, HealthTracker *health);

    /// Takes over a committed task from an earlier leader.
    void restore(const TaskRecord &record);
    /// Adds a job; a name that is known already is a repeat.
    void submit(const JobRecord &job);
    /// Marks a job cancelled; the calls and records follow within bounded ticks.
    void cancel(const TaskName &name);
    /// Adds a task of a service, without a lease.
    Index addServiceTask(const TaskName &name, Index service, Index team, const Resources &size);

    /// Proposes a lease of a queued task at a worker with room for it.
    void lease(Index task, Index worker);
    /// Asks for a checkpoint and the end of a leased task; after `gracePeriod` it is stopped.
    void evict(Index task, Duration gracePeriod);
    /// Asks for the end of a leased task without a checkpoint.
    void stop(Index task);
    /// Ends a queued task that can never run.
    void proposeUnschedulable(Index task, UnschedulableReason reason);

    /// A worker's report lists a task.
    /// @return true when the task's lease is to be renewed
    bool onListed(Index worker, const TaskReport &report);
    /// A worker's report does not list a task that takes room there.
    void onUnlisted(Index task);
    /// A worker is silent: ends a lease that has surely expired.
    void onWorkerSilent(Index task);
    /// A lease was renewed by the worker's latest report.
    void onRenewed(Index task);

    /// A proposed change about a task is committed or refused.
    void onCommitted(const PendingChange &pending);
    void onRejected(const PendingChange &pending);

    /// Carries out cancellations, a bounded number.
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
    /// Adds what the lease achieved to the task's attained time.
    void addAttained(Task *task) const;
    /// Learns from a job that came to its end.
    void recordRunStatistics(const Task &task);
    /// Stops checkpoints that took too long.
    void stopOverdueCheckpoints();
    void removeTask(Index task);
    [[nodiscard]] Timestamp expiry(Timestamp basis) const;

    Model *m_model;
    HealthTracker *m_health;
    /// Cancelled tasks whose call or record is still to be sent.
    std::deque<TaskName> m_cancelled;
    /// A checkpoint call and when it turns into a stop.
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
