#include "acaciafork/decisions/jobs/DisruptionBudget.h"
#include "acaciafork/decisions/jobs/JobScheduler.h"

// Moves of serving tasks to other workers.

namespace acaciafork::jobs {
namespace {

/// Interval between two plans. A plan looks at each serving run once.
constexpr Duration relocationInterval = std::chrono::milliseconds(400);

} // namespace

bool JobScheduler::mayRelocate(Timestamp now, const Worker &worker, const RunRef &ref)
{
    const Run &run = ref.get();
    const StepSpec &spec = *ref.task.step->spec;
    // The planner knows of neither labels nor accelerators, and the queue may have moved since.
    return spec.longRunning && !spec.gang && spec.size.accelerators == 0 && spec.label.empty()
            && ref.task.step->job->pool == worker.life.pool && ref.task.step->permits() == nullptr
            && !ref.task.get().crashes().isSuspect() && run.phase == RunPhase::Running
            && run.progress >= wholePercent && now - run.startedAt >= DisruptionBudget::settlingTime
            && DisruptionBudget::allows(now, ref);
}

void JobScheduler::relocateServing(Timestamp now)
{
    if (m_settings.cautiousBackfill || m_isFenced || m_isTakingOver || now < m_nextRelocation
        || isRecordOverdue(now))
        return;
    m_nextRelocation = now + relocationInterval;
    m_relocation.expire(now, m_workers);
    const auto mayMove = [now](const Worker &worker, const RunRef &it) {
        return mayRelocate(now, worker, it);
    };
    for (const ServingRelocation::Move &it :
         m_relocation.plan(now, m_order, m_workers, m_placer, mayMove)) {
        const Worker *from = m_workers.find(it.run.get().worker);
        const Worker *to = m_workers.find(it.to);
        if (to == nullptr || !Placer::canEverFit(*to, *it.run.task.step)
            || !stopByChoice(now, it.run, "moved"))
            continue;
        ++m_counts.relocations;
        note("run-moved", it.run.key(), from, "to=" + to->life.name.value);
        m_relocation.begin(now, it, m_workers);
    }
    m_counts.openWorkers = m_relocation.openWorkers();
}

void JobScheduler::placeRelocated(Timestamp now)
{
    std::vector<std::pair<TaskRef, WorkerId>> ready;
    for (const auto &[key, hold] : m_relocation.holds()) {
        const TaskRef task = m_jobs.find(key);
        if (task && task.get().isReady && !task.get().awaitsTrial)
            ready.emplace_back(task, hold.worker);
    }
    for (const auto &[task, id] : ready) {
        m_relocation.end(task.key(), m_workers);
        Worker *worker = m_workers.find(id);
        // Elsewhere it is placed as any other task that has lost its run.
        if (worker == nullptr || !m_placer.isUsable(now, *worker)
            || !m_placer.fits(*worker, *task.step))
            continue;
        dropFromReady(task);
        startRun(now, task, worker, nextRunNumber(task.get()));
    }
}

} // namespace acaciafork::jobs
