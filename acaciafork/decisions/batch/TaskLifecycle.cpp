#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

TaskLifecycle::TaskLifecycle(Model *model, HealthTracker *health)
    : m_model(model)
    , m_health(health)
{ }

void TaskLifecycle::restore(const TaskRecord &record)
{
    Model &m = *m_model;
    const Index index = m.tasks.add(record.job.task);
    Task &task = m.tasks[index];
    task.team = m.teams.intern(record.job.team);
    task.family = m.families.intern(record.job.family);
    task.declared = record.job.declared;
    task.declaredRunTime = record.job.declaredRunTime;
    task.urgent = record.job.urgent;
    task.epoch = record.lastEpoch;
    task.checkpoint = record.checkpoint;
    task.failures = static_cast<std::uint16_t>(record.failures);
    task.cancelRequested = record.cancelRequested;
    if (task.cancelRequested)
        m_cancelled.push_back(task.name);

    // A lease of an earlier leader: its start may be on its way, so it is never started by us, and
    // it is in force until the worker says otherwise or it has surely expired.
    if (record.leased) {
        const Index worker = m.fleet.internWorker(record.lease.worker);
        m.allocateRoom(index, worker, record.lease.granted);
        task.epoch = record.lease.epoch;
        task.phase = record.lease.started ? TaskPhase::Running : TaskPhase::Leased;
        task.startRecorded = record.lease.started;
        task.startSent = true;
        task.startedAt = m.now;
        task.expiresAt = expiry(m.now + m.settings.lease.deposedLeaderOverlap);
        return;
    }
    if (record.service.value.empty() && !task.cancelRequested)
        m.enqueue(index, static_cast<bool>(task.epoch));
}

void TaskLifecycle::submit(const JobRecord &job)
{
    Model &m = *m_model;
    if (m.tasks.find(job.task) != noIndex)
        return;
    const Index index = m.tasks.add(job.task);
    Task &task = m.tasks[index];
    task.team = m.teams.intern(job.team);
    task.family = m.families.intern(job.family);
    task.declared = job.declared;
    task.declaredRunTime = job.declaredRunTime;
    task.urgent = job.urgent;
    task.historyKnown = true;

    // What can be seen to be impossible is refused at once.
    const Resources &size = job.declared;
    if (size.millicores <= 0 || size.memoryMb < 0 || size.accelerators < 0 || size.slots < 0) {
        proposeUnschedulable(index, UnschedulableReason::InvalidSize);
        return;
    }
    if (!m.teams.withinWholeQuota(task.team, size)) {
        proposeUnschedulable(index, UnschedulableReason::OverTeamQuota);
        return;
    }
    m.enqueue(index, false);
}

Index TaskLifecycle::addServiceTask(const TaskName &name, Index service, Index team,
                                    const Resources &size)
{
    const Index index = m_model->tasks.add(name);
    Task &task = m_model->tasks[index];
    task.service = service;
    task.team = team;
    task.family = m_model->families.intern(FamilyName { m_model->services.name(service).value });
    task.declared = size;
    task.phase = TaskPhase::Finished;
    return index;
}

void TaskLifecycle::cancel(const TaskName &name)
{
    const Index index = m_model->tasks.find(name);
    if (index == noIndex || m_model->tasks[index].cancelRequested)
        return;
    m_model->tasks[index].cancelRequested = true;
    m_model->queue.remove(index);
    m_cancelled.push_back(name);
}

void TaskLifecycle::tick()
{
    stopOverdueCheckpoints();
    // Each cancelled task costs one call or one record; the rest waits for the next tick.
    for (std::int32_t n = m_model->settings.tick.cancellationsPerTick;
         n > 0 && !m_cancelled.empty(); --n) {
        const Index index = m_model->tasks.find(m_cancelled.front());
        m_cancelled.pop_front();
        if (index == noIndex)
            continue;
        Task &task = m_model->tasks[index];
        if (task.leased())
            stop(index);
        else if (task.phase == TaskPhase::Queued && !task.proposed)
            proposeCancelled(index);
    }
}

void TaskLifecycle::lease(Index index, Index worker)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    ACACIAFORK_ASSERT(task.phase == TaskPhase::Queued && !task.proposed && !task.cancelRequested);
    const Resources granted = m.sizeFor(task);
    ACACIAFORK_ASSERT(granted.fitsIn(m.fleet.worker(worker).freeRoom()));
    m.queue.remove(index);
    m.allocateRoom(index, worker, granted);
    task.phase = TaskPhase::Leasing;
    task.proposed = true;
    ++m.counters.leasesProposed;
    m.outbox.propose(index,
                     LeaseTask { .task = task.name,
                                 .service = m.serviceName(task),
                                 .worker = m.fleet.workerName(worker),
                                 .epoch = LeaseEpoch { task.epoch.value + 1 },
                                 .checkpoint = task.checkpoint,
                                 .granted = granted });
}

void TaskLifecycle::evict(Index index, Duration gracePeriod)
{
    Task &task = m_model->tasks[index];
    if (!task.leased() || task.proposed || task.intent != TaskIntent::Run)
        return;
    ++m_model->counters.evictions;
    task.intent = TaskIntent::Checkpoint;
    task.stopDueAt = m_model->now + gracePeriod;
    m_checkpointDeadlines.push({ .at = task.stopDueAt, .task = task.name, .epoch = task.epoch });
    sendCheckpointOrStop(index);
}

void TaskLifecycle::stop(Index index)
{
    Task &task = m_model->tasks[index];
    if (!task.leased() || task.proposed || task.intent == TaskIntent::Stop)
        return;
    task.intent = TaskIntent::Stop;
    sendCheckpointOrStop(index);
}

void TaskLifecycle::proposeUnschedulable(Index index, UnschedulableReason reason)
{
    Task &task = m_model->tasks[index];
    ACACIAFORK_ASSERT(task.phase == TaskPhase::Queued && !task.proposed);
    m_model->queue.remove(index);
    task.proposed = true;
    m_model->outbox.propose(index, RecordUnschedulable { .task = task.name, .reason = reason });
}

void TaskLifecycle::sendStart(Index index)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];
    const Worker &worker = m.fleet.worker(task.worker);

    // The lease counts from the report that we answer: a start that arrives late is refused.
    task.incarnation = worker.incarnation;
    task.expiresAt = std::max(task.expiresAt, expiry(worker.reportedAt));
    task.callDueAt = m.now + m.settings.lease.callRetryInterval;
    ++(task.startSent ? m.counters.startsRepeated : m.counters.startsSent);
    task.startSent = true;
    m.outbox.call(StartTask { .worker = m.fleet.workerName(task.worker),
                              .task = task.name,
                              .epoch = task.epoch,
                              .checkpoint = task.checkpoint,
                              .granted = task.granted,
                              .basis = { .incarnation = worker.incarnation,
                                         .seq = worker.seq,
                                         .leaseLength = m.settings.lease.leaseLength } });
}

void TaskLifecycle::sendCheckpointOrStop(Index index)
{
    Model &m = *m_model;
    Task &task = m.tasks[index];

    // A lease that was never sent out ends without the worker.
    if (!task.startSent) {
        proposeStopped(index, task.checkpoint);
        return;
    }
    if (task.intent == TaskIntent::Checkpoint
        && (task.phase != TaskPhase::Running || m.now >= task.stopDueAt))
        task.intent = TaskIntent::Stop;
    task.callDueAt = m.now + m.settings.lease.callRetryInterval;
    if (task.intent == TaskIntent::Stop) {
        sendStop(task, false);
        return;
    }
    m.outbox.call(CheckpointTask {
            .worker = m.fleet.workerName(task.worker), .task = task.name, .epoch = task.epoch });
}

void TaskLifecycle::sendStop(const Task &task, bool release)
{
    m_model->outbox.call(StopTask { .worker = m_model->fleet.workerName(task.worker),
                                    .task = task.name,
                                    .epoch = task.epoch,
                                    .release = release });
}

Timestamp TaskLifecycle::expiry(Timestamp basis) const
{
    // A clock that runs slower by the margin takes that much longer, rounded up.
    constexpr std::int64_t permilleScale = 1000;
    const LeaseSettings &lease = m_model->settings.lease;
    return basis + lease.leaseLength * permilleScale / (permilleScale - lease.clockMarginPermille)
            + Duration(1);
}

void TaskLifecycle::stopOverdueCheckpoints()
{
    while (!m_checkpointDeadlines.empty() && m_checkpointDeadlines.top().at <= m_model->now) {
        const Index index = m_model->tasks.find(m_checkpointDeadlines.top().task);
        const LeaseEpoch epoch = m_checkpointDeadlines.top().epoch;
        m_checkpointDeadlines.pop();
        if (index != noIndex && m_model->tasks[index].epoch == epoch)
            stop(index);
    }
}

} // namespace acaciafork::batch
