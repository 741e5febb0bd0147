#include "acaciafork/decisions/batch/WorkerReports.h"

namespace acaciafork::batch {

WorkerReports::WorkerReports(Model *model, TaskLifecycle *lifecycle)
    : m_model(model)
    , m_lifecycle(lifecycle)
{ }

void WorkerReports::onReport(const WorkerReport &report)
{
    Model &m = *m_model;
    const Index index = m.fleet.internWorker(report.worker);
    const Worker &worker = m.fleet.worker(index);
    const bool stale = report.incarnation < worker.incarnation
            || (report.incarnation == worker.incarnation && report.seq <= worker.seq);
    if (stale) {
        ++m.counters.staleReports;
        return;
    }
    updateWorker(index, report);
    visitTasks(index, report);
}

void WorkerReports::updateWorker(Index index, const WorkerReport &report)
{
    Model &m = *m_model;
    Index rack = m.fleet.findRack(report.rack);
    if (rack == noIndex)
        rack = m.fleet.putRack(
                { .rack = report.rack, .building = report.building, .zone = report.zone });
    RackRecord known = m.fleet.rack(rack).record;
    if (known.building.value.empty()) {
        known.building = report.building;
        known.zone = report.zone;
        m.fleet.putRack(known);
    }
    m.fleet.setRack(index, rack);

    Worker &worker = m.fleet.worker(index);
    if (worker.incarnation && worker.incarnation != report.incarnation)
        ++m.counters.workerRestarts;
    worker.incarnation = report.incarnation;
    worker.seq = report.seq;
    worker.reportedAt = m.now;
    m.setPresence(index, true, report.room);
}

void WorkerReports::visitTasks(Index index, const WorkerReport &report)
{
    Model &m = *m_model;
    ++m.reportStamp;
    RenewLease renewal { .worker = report.worker,
                         .basis = { .incarnation = report.incarnation,
                                    .seq = report.seq,
                                    .leaseLength = m.settings.lease.leaseLength } };
    for (const TaskReport &it : report.tasks) {
        if (!m_lifecycle->onListed(index, it))
            continue;
        m_lifecycle->onRenewed(m.tasks.find(it.task));
        renewal.tasks.push_back({ .task = it.task, .epoch = it.epoch });
    }
    if (!renewal.tasks.empty())
        m.outbox.call(std::move(renewal));

    // No task leaves the list before its end is committed, so it can be walked by position.
    const std::vector<Index> &tasks = m.fleet.worker(index).tasks;
    for (const Index task : tasks) {
        if (m.tasks[task].lastListedStamp != m.reportStamp)
            m_lifecycle->onUnlisted(task);
    }
}

void WorkerReports::tick()
{
    Model &m = *m_model;
    const Index count = m.fleet.workerCount();
    const auto limit = static_cast<Index>(m.settings.tick.workersSweptPerTick);
    for (Index n = std::min(count, limit); n > 0; --n) {
        m_sweepCursor = m_sweepCursor + 1 < count ? m_sweepCursor + 1 : 0;
        const Worker &worker = m.fleet.worker(m_sweepCursor);
        if (m.now - worker.reportedAt <= m.settings.lease.workerSilentAfter)
            continue;
        if (worker.present)
            m.setPresence(m_sweepCursor, false, worker.room);
        for (const Index task : worker.tasks)
            m_lifecycle->onWorkerSilent(task);
    }
}

} // namespace acaciafork::batch
