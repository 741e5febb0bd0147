#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

bool TaskLifecycle::onListed(Index worker, const TaskReport &report)
{
    Model &m = *m_model;
    const Index index = m.tasks.find(report.task);

    // Not ours at this epoch: an ended record is dropped, anything that runs is stopped. A higher
    // epoch than the one we know belongs to a newer leader.
    if (index == noIndex || m.tasks[index].worker != worker || !m.tasks[index].leased()
        || m.tasks[index].epoch != report.epoch) {
        if (index != noIndex && report.epoch > m.tasks[index].epoch)
            return false;
        const bool runs = report.status == TaskStatus::Running;
        m.counters.foreignTasksStopped += runs ? 1 : 0;
        m.outbox.call(StopTask { .worker = m.fleet.workerName(worker),
                                 .task = report.task,
                                 .epoch = report.epoch,
                                 .release = !runs });
        return false;
    }

    Task &task = m.tasks[index];
    task.lastListedStamp = m.reportStamp;
    if (report.status != TaskStatus::Running) {
        if (!task.proposed)
            onEnded(index, report);
        return false;
    }
    onRunning(index, report);
    return true;
}

void TaskLifecycle::onRunning(Index index, const TaskReport &report)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    const Worker &worker = m.fleet.worker(task.worker);
    if (task.firstSeq == 0 || task.incarnation != worker.incarnation)
        task.firstSeq = worker.seq;
    task.lastSeq = worker.seq;
    task.incarnation = worker.incarnation;
    if (task.phase == TaskPhase::Leased) {
        task.phase = TaskPhase::Running;
        task.startedAt = m.now;
    }
    if (!task.startRecorded) {
        task.startRecorded = true;
        m.outbox.propose(index, RecordStarted { .task = task.name, .epoch = task.epoch });
    }

    // A newer checkpoint is recorded, so that a lost worker costs only what came after it.
    if (report.checkpoint > std::max(task.checkpoint, task.checkpointProposed)) {
        task.checkpointProposed = report.checkpoint;
        m.outbox.propose(index,
                         RecordCheckpointed { .task = task.name,
                                              .epoch = task.epoch,
                                              .checkpoint = report.checkpoint });
    }
    if (task.intent != TaskIntent::Run && m.now >= task.callDueAt)
        sendCheckpointOrStop(index);
}

void TaskLifecycle::onEnded(Index index, const TaskReport &report)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    switch (report.status) {
    case TaskStatus::Running:
        return;
    case TaskStatus::Checkpointed:
        task.checkpointedAt = m.now;
        [[fallthrough]];
    case TaskStatus::Stopped:
        proposeStopped(index, std::max(task.checkpoint, report.checkpoint));
        return;
    case TaskStatus::Finished:
        // A service does not finish: its replica is to be replaced.
        if (task.isService()) {
            proposeStopped(index, task.checkpoint);
            return;
        }
        task.proposed = true;
        m.outbox.propose(index, RecordFinished { .task = task.name, .epoch = task.epoch });
        return;
    case TaskStatus::Failed:
        proposeFailed(index, report.cause);
        return;
    }
}

void TaskLifecycle::onUnlisted(Index index)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    if (!task.leased() || task.proposed)
        return;

    // A restarted worker runs only what it lists, and refuses starts from before its restart.
    const bool restarted =
            task.incarnation && task.incarnation != m.fleet.worker(task.worker).incarnation;
    if (restarted || m.now > task.expiresAt) {
        m.counters.leasesExpired += restarted ? 0 : 1;
        proposeStopped(index, task.checkpoint);
        return;
    }
    if (m.now < task.callDueAt)
        return;

    // A start of our own that did not arrive is sent again. Anything else that the worker does not
    // know is fenced by a stop, whose confirmation ends the lease.
    if (task.phase == TaskPhase::Leased && task.mayStart && task.intent == TaskIntent::Run) {
        sendStart(index);
        return;
    }
    task.callDueAt = m.now + m.settings.lease.callRetryInterval;
    sendStop(task, false);
}

void TaskLifecycle::onWorkerSilent(Index index)
{
    Task &task = m_model->tasks[index];
    if (!task.leased() || task.proposed || m_model->now <= task.expiresAt)
        return;
    ++m_model->counters.leasesExpired;
    proposeStopped(index, task.checkpoint);
}

void TaskLifecycle::onRenewed(Index index)
{
    Task &task = m_model->tasks[index];
    task.expiresAt =
            std::max(task.expiresAt, expiry(m_model->fleet.worker(task.worker).reportedAt));
}

void TaskLifecycle::proposeStopped(Index index, CheckpointId checkpoint)
{
    Task &task = m_model->tasks[index];
    if (task.cancelRequested) {
        proposeCancelled(index);
        return;
    }
    task.proposed = true;
    m_model->outbox.propose(
            index,
            RecordStopped { .task = task.name, .epoch = task.epoch, .checkpoint = checkpoint });
}

void TaskLifecycle::proposeCancelled(Index index)
{
    Task &task = m_model->tasks[index];
    task.proposed = true;
    m_model->outbox.propose(index, RecordCancelled { .task = task.name, .epoch = task.epoch });
}

} // namespace acaciafork::batch
