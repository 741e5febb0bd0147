#include "acaciafork/decisions/batch/HealthJudge.h"

namespace acaciafork::batch {

namespace {

/// Puts a worker in front of the latest different ones.
void remember(std::array<Index, 3> *workers, Index worker)
{
    auto it = std::find(workers->begin(), workers->end(), worker);
    if (it == workers->end())
        --it;
    std::rotate(workers->begin(), it, it + 1);
    workers->front() = worker;
}

} // namespace

HealthJudge::HealthJudge(Model *model)
    : m_model(model)
{ }

HealthJudge::Family &HealthJudge::family(Index index)
{
    if (index >= m_families.size())
        m_families.resize(index + 1);
    Family &it = m_families[index];

    // Old outcomes fade.
    constexpr float most = 50;
    if (it.finished + it.failed > most) {
        it.finished /= 2;
        it.failed /= 2;
    }
    return it;
}

bool HealthJudge::failsAnywhere(Index index) const
{
    if (index >= m_families.size())
        return false;
    const Family &it = m_families[index];
    return it.failedWorkers.back() != noIndex && it.failed > it.finished;
}

FailureVerdict HealthJudge::onFailure(Index index, TaskFailureCause cause)
{
    const HealthSettings &settings = m_model->settings.health;
    Task &task = m_model->tasks[index];
    const Index worker = task.worker;
    ++task.failedAttempts;

    // Too little memory because we granted less than was declared is our fault alone.
    if (cause == TaskFailureCause::OutOfMemory) {
        constexpr std::int32_t growth = 2;
        const std::int32_t granted = task.granted.memoryMb;
        const bool ours = granted < task.declared.memoryMb;
        task.memoryFloorMb = std::max(granted * growth, ours ? task.declared.memoryMb : 0);
        const bool last = !ours && task.failures + 1 >= settings.maxCountedFailures;
        return { .counted = !ours, .last = last };
    }

    Family &kin = family(task.family);
    ++kin.failed;
    remember(&kin.failedWorkers, worker);
    remember(&task.failedWorkers, worker);

    // A worker in quarantine, or on its way there, is at fault; the job only for what it also did
    // elsewhere.
    const bool wasQuarantined = m_model->fleet.worker(worker).quarantined;
    if (!failsAnywhere(task.family))
        blameWorker(worker, index);
    const bool workersFault = cause == TaskFailureCause::StartRefused || wasQuarantined
            || m_model->fleet.worker(worker).quarantined;
    const bool last = (!workersFault && task.failures + 1 >= settings.maxCountedFailures)
            || task.failedAttempts >= settings.maxFailures;
    return { .counted = !workersFault, .last = last };
}

void HealthJudge::blameWorker(Index index, Index task)
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

void HealthJudge::quarantine(Index index)
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

void HealthJudge::onSuccess(Index index)
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

void HealthJudge::onStopped(Index index)
{
    Worker &worker = m_model->fleet.worker(m_model->tasks[index].worker);
    if (worker.probeTask == index)
        worker.probeTask = noIndex;
}

Index HealthJudge::probeFor(const Task &task, const Resources &size) const
{
    // A job that failed before, or that is urgent, proves nothing or has no time.
    if (m_quarantined.empty() || task.urgent || task.isService() || task.failedAttempts > 0)
        return noIndex;
    for (const Index index : m_quarantined) {
        const Worker &worker = m_model->fleet.worker(index);
        const bool due = worker.probeTask == noIndex && m_model->now >= worker.probeDueAt;
        const bool open = worker.present && worker.rack != noIndex
                && !m_model->fleet.rack(worker.rack).draining();
        if (due && open && size.fitsIn(worker.freeRoom()))
            return index;
    }
    return noIndex;
}

void HealthJudge::onProbe(Index worker, Index task)
{
    m_model->fleet.worker(worker).probeTask = task;
    ++m_model->counters.probes;
}

} // namespace acaciafork::batch
