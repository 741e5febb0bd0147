#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

void TaskLifecycle::onCommitted(const PendingChange &pending)
{
    std::visit([&](const auto &change) { applyCommitted(pending.subject, change); },
               pending.change);
}

template <typename Other>
void TaskLifecycle::applyCommitted(Index /*task*/, const Other & /*change*/)
{ }

void TaskLifecycle::applyCommitted(Index index, const LeaseTask &change)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    const Worker &worker = m.fleet.worker(task.worker);
    task.proposed = false;
    task.phase = TaskPhase::Leased;
    task.epoch = change.epoch;
    task.mayStart = true;
    task.startSent = false;
    task.startRecorded = false;
    task.incarnation = {};
    task.expiresAt = m.now;

    // Things may have changed while the lease was being committed; nothing was sent out yet, so the
    // lease can end without the worker.
    const bool unwanted =
            task.cancelRequested || !worker.present || m.fleet.rack(worker.rack).draining();
    if (unwanted) {
        proposeStopped(index, task.checkpoint);
        return;
    }
    sendStart(index);
}

void TaskLifecycle::applyCommitted(Index index, const RecordStopped &change)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    m_health->onStopped(index);
    addAttained(&task);
    endLease(index);
    if (change.checkpoint > task.checkpoint)
        task.checkpoint = change.checkpoint;
    if (task.isService()) {
        task.phase = TaskPhase::Finished;
        return;
    }
    if (task.cancelRequested) {
        task.phase = TaskPhase::Queued;
        proposeCancelled(index);
        return;
    }
    m.enqueue(index, true);
}

void TaskLifecycle::applyCommitted(Index index, const RecordFinished & /*change*/)
{
    ++m_model->counters.finished;
    recordRunStatistics(m_model->tasks[index]);
    m_health->onSuccess(index);
    endLease(index);
    removeTask(index);
}

void TaskLifecycle::applyCommitted(Index index, const RecordFailed &change)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    addAttained(&task);
    endLease(index);
    ++m.counters.failedAttempts;
    task.failures += change.counted ? 1 : 0;
    if (change.last) {
        ++m.counters.failed;
        removeTask(index);
        return;
    }
    if (task.cancelRequested) {
        task.phase = TaskPhase::Queued;
        proposeCancelled(index);
        return;
    }
    m.enqueue(index, true);
}

void TaskLifecycle::applyCommitted(Index index, const RecordCancelled & /*change*/)
{
    ++m_model->counters.cancelled;
    if (m_model->tasks[index].onWorker()) {
        m_health->onStopped(index);
        endLease(index);
    }
    removeTask(index);
}

void TaskLifecycle::applyCommitted(Index index, const RecordUnschedulable & /*change*/)
{
    ++m_model->counters.unschedulable;
    removeTask(index);
}

void TaskLifecycle::applyCommitted(Index /*index*/, const RecordStarted & /*change*/) { }

void TaskLifecycle::applyCommitted(Index /*index*/, const RecordCheckpointed &change)
{
    // The task may have ended since, and its place in the table may be another's.
    const Index index = m_model->tasks.find(change.task);
    if (index == noIndex || m_model->tasks[index].epoch != change.epoch)
        return;
    Task &task = m_model->tasks[index];
    task.checkpoint = std::max(task.checkpoint, change.checkpoint);
    task.checkpointedAt = m_model->now;
}

void TaskLifecycle::onRejected(const PendingChange &pending)
{
    Model &m = *m_model;
    ++m.counters.proposalsRejected;
    const bool setsProposed = !std::holds_alternative<RecordStarted>(pending.change)
            && !std::holds_alternative<RecordCheckpointed>(pending.change);
    if (!setsProposed)
        return;
    const Index index = pending.subject;
    Task &task = m.tasks[index];
    task.proposed = false;

    // A refused lease was never in force; the task waits again, in front. A refused outcome is
    // proposed again by the next report or sweep.
    if (!std::holds_alternative<LeaseTask>(pending.change)) {
        if (task.phase == TaskPhase::Queued)
            m_cancelled.push_back(task.name);
        return;
    }
    m.releaseRoom(index);
    task.phase = TaskPhase::Queued;
    if (task.cancelRequested)
        m_cancelled.push_back(task.name);
    else if (task.isService())
        task.phase = TaskPhase::Finished;
    else
        m.enqueue(index, true);
}

void TaskLifecycle::endLease(Index index)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];

    // The worker may drop its record of this epoch now; if the call is lost, its next report lists
    // the record again and it is told again.
    if (task.startSent)
        sendStop(task, true);
    m.releaseRoom(index);
    task.proposed = false;
    task.mayStart = false;
    task.intent = TaskIntent::Run;
    task.firstSeq = 0;
    task.throttlePermille = unthrottledPermille;
    task.checkpointedAt = {};
}

void TaskLifecycle::addAttained(Task *task) const
{
    // What came after the latest checkpoint is lost.
    if (task->checkpointedAt > task->startedAt)
        task->attained += task->checkpointedAt - task->startedAt;
}

void TaskLifecycle::recordRunStatistics(const Task &task)
{
    if (task.peak.millicores > 0)
        m_model->sizes.learnUsage(task.family, task.declared, task.granted, task.peak);
    if (!task.historyKnown)
        return;
    const Duration runTime = task.attained + (m_model->now - task.startedAt);
    m_model->sizes.learnRunTime(task.family, task.declaredRunTime, runTime);
}

void TaskLifecycle::removeTask(Index index)
{
    m_model->queue.remove(index);
    m_model->tasks.remove(index);
}

void TaskLifecycle::proposeFailed(Index index, TaskFailureCause cause)
{
    Task &task = m_model->tasks[index];
    if (task.isService()) {
        proposeStopped(index, task.checkpoint);
        return;
    }
    if (task.cancelRequested) {
        proposeCancelled(index);
        return;
    }
    const FailureVerdict verdict = m_health->onFailure(index, cause);
    task.proposed = true;
    m_model->outbox.propose(index,
                            RecordFailed { .task = task.name,
                                           .epoch = task.epoch,
                                           .cause = cause,
                                           .counted = verdict.counted,
                                           .last = verdict.last });
}

} // namespace acaciafork::batch
