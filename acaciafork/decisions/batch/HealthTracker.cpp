#include "acaciafork/decisions/batch/HealthTracker.h"

namespace acaciafork::batch {

namespace {

/// Puts a worker in front of the latest different ones.
void moveToFront(std::array<Index, 3> *workers, Index worker)
{
    auto it = std::find(workers->begin(), workers->end(), worker);
    if (it == workers->end())
        --it;
    std::rotate(workers->begin(), it, it + 1);
    workers->front() = worker;
}

} // namespace

HealthTracker::HealthTracker(Model *model)
    : m_model(model)
{ }

HealthTracker::Family &HealthTracker::family(Index index)
{
    if (index >= m_families.size())
        m_families.resize(index + 1);
    Family &it = m_families[index];

    // Old outcomes fade.
    constexpr float maxOutcomes = 50;
    if (it.finished + it.failed > maxOutcomes) {
        it.finished /= 2;
        it.failed /= 2;
    }
    return it;
}

bool HealthTracker::failsAcrossWorkers(Index index) const
{
    if (index >= m_families.size())
        return false;
    const Family &it = m_families[index];
    return it.failedWorkers.back() != noIndex && it.failed > it.finished;
}

FailureVerdict HealthTracker::onFailure(Index index, TaskFailureCause cause)
{
    const HealthSettings &settings = m_model->settings.health;
    Task &task = m_model->tasks[index];
    const Index worker = task.worker;
    ++task.failedAttempts;

    // Too little memory because we granted less than was declared is our fault alone.
    if (cause == TaskFailureCause::OutOfMemory) {
        constexpr std::int32_t growth = 2;
        const std::int32_t granted = task.granted.memoryMb;
        const bool grantedBelowDeclared = granted < task.declared.memoryMb;
        task.memoryFloorMb =
                std::max(granted * growth, grantedBelowDeclared ? task.declared.memoryMb : 0);
        const bool last = !grantedBelowDeclared && task.failures + 1 >= settings.maxCountedFailures;
        return { .counted = !grantedBelowDeclared, .last = last };
    }

    Family &outcomes = family(task.family);
    ++outcomes.failed;
    moveToFront(&outcomes.failedWorkers, worker);
    moveToFront(&task.failedWorkers, worker);

    // A worker in quarantine, or on its way there, is at fault; the job only for what it also did
    // elsewhere.
    const bool wasQuarantined = m_model->fleet.worker(worker).quarantined;
    if (!failsAcrossWorkers(task.family))
        recordWorkerFailure(worker, index);
    const bool workerAtFault = cause == TaskFailureCause::StartRefused || wasQuarantined
            || m_model->fleet.worker(worker).quarantined;
    const bool last = (!workerAtFault && task.failures + 1 >= settings.maxCountedFailures)
            || task.failedAttempts >= settings.maxFailures;
    return { .counted = !workerAtFault, .last = last };
}

void HealthTracker::recordWorkerFailure(Index index, Index task)
{
    Worker &worker = m_model->fleet.worker(index);
    if (worker.quarantined) {
        quarantine(index);
        return;
    }
    auto &streak = worker.failureStreak;
    if (std::find(streak.begin(), streak.end(), task) == streak.end())
        streak.push_back(task);
    if (static_cast<std::int64_t>(streak.size()) >= m_model->settings.health.failuresToQuarantine)
        quarantine(index);
}

void HealthTracker::quarantine(Index index)
{
    const HealthSettings &settings = m_model->settings.health;
    Worker &worker = m_model->fleet.worker(index);
    constexpr int growth = 2;
    worker.probeBackoff = worker.quarantined
            ? std::min(worker.probeBackoff * growth, settings.maxProbeDelay)
            : settings.initialProbeDelay;
    worker.probeDueAt = m_model->now + worker.probeBackoff;
    worker.probeTask = noIndex;
    worker.failureStreak.clear();
    if (!worker.quarantined) {
        ++m_model->counters.quarantines;
        m_quarantined.push_back(index);
    }
    worker.quarantined = true;
    m_model->index.refresh(index);
}

void HealthTracker::onSuccess(Index index)
{
    const Task &task = m_model->tasks[index];
    ++family(task.family).finished;
    Worker &worker = m_model->fleet.worker(task.worker);
    worker.failureStreak.clear();

    // Only the probe shows that a quarantined worker is well again: what finished otherwise may
    // have been started before it went bad.
    if (!worker.quarantined || worker.probeTask != index)
        return;
    worker.quarantined = false;
    worker.probeTask = noIndex;
    std::erase(m_quarantined, task.worker);
    m_model->index.refresh(task.worker);
}

void HealthTracker::onStopped(Index index)
{
    Worker &worker = m_model->fleet.worker(m_model->tasks[index].worker);
    if (worker.probeTask == index)
        worker.probeTask = noIndex;
}

Index HealthTracker::findWorkerToProbe(const Task &task, const Resources &size) const
{
    // A job that failed before, or that is urgent, proves nothing or has no time.
    if (m_quarantined.empty() || task.urgent || task.isService() || task.failedAttempts > 0)
        return noIndex;
    for (const Index index : m_quarantined) {
        const Worker &worker = m_model->fleet.worker(index);
        const bool due = worker.probeTask == noIndex && m_model->now >= worker.probeDueAt;
        const bool available = worker.present && worker.rack != noIndex
                && !m_model->fleet.rack(worker.rack).draining();
        if (due && available && size.fitsIn(worker.freeRoom()))
            return index;
    }
    return noIndex;
}

void HealthTracker::onProbeLeased(Index worker, Index task)
{
    m_model->fleet.worker(worker).probeTask = task;
    ++m_model->counters.probes;
}

} // namespace acaciafork::batch
