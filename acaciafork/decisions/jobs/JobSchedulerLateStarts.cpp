#include <algorithm>

#include "acaciafork/decisions/jobs/JobScheduler.h"

// Starts without an answer, which may be carried out seconds later and by another incarnation.

namespace acaciafork::jobs {
namespace {

/// A start without an answer is ordered again at most this often.
constexpr std::uint32_t maxStartRetries = 2;
/// Most tasks end before this time, so that their starts need no record of their own.
constexpr Duration confirmDelay = std::chrono::milliseconds(100);

} // namespace

Timestamp JobScheduler::mayStartUntil(const Run &run) const
{
    if (!run.startInFlight)
        return run.mayStartUntil;
    return std::max(run.mayStartUntil, run.startedAt + m_settings.maxOrderDelay);
}

bool JobScheduler::hasLateStart(const TaskRef &task, RunNumber run)
{
    return std::ranges::find(task.get().lateStarts, run, &LateStart::run)
            != task.get().lateStarts.end();
}

void JobScheduler::keepLateStart(Timestamp now, const Worker &worker, const RunRef &ref)
{
    const Run &run = ref.get();
    Task &task = ref.task.get();
    // Copies of a speculative task may run beside each other.
    if (!isLate(now, run) || ref.task.step->spec->speculative)
        return;
    const Timestamp until = mayStartUntil(run);
    const Timestamp lastLease = std::max(until, worker.leaseOrderedAt + m_settings.maxOrderDelay);
    std::erase_if(task.lateStarts, [&](const LateStart &it) { return it.run == run.number; });
    task.lateStarts.push_back({ .run = run.number,
                                .worker = worker.life.name,
                                .until = until,
                                .lapsesAt = LeaseClock::expiryOf(lastLease, m_settings.maxLease) });
}

void JobScheduler::expectLateStarts(const Worker &worker) const
{
    for (const RunRef &it : worker.runs) {
        Run &run = it.get();
        if (!run.startedBy && run.phase != RunPhase::Recording)
            run.mayStartUntil =
                    std::max(run.mayStartUntil, worker.leaseOrderedAt + m_settings.maxOrderDelay);
    }
}

void JobScheduler::inheritLateStarts(Task *task, const Step &step) const
{
    if (task->done || step.spec->speculative)
        return;
    const Timestamp until = m_tenureBeganAt + m_settings.maxOrderDelay;
    for (const CrashExposure &it : task->crashes.exposures()) {
        if (!it.isOver && !it.isConfirmed)
            task->lateStarts.push_back(
                    { .run = it.run,
                      .worker = it.worker,
                      .until = until,
                      .lapsesAt = LeaseClock::expiryOf(until, m_settings.maxLease) });
    }
}

void JobScheduler::endLateStarts(Timestamp now, const TaskRef &ref)
{
    Task &task = ref.get();
    std::erase_if(task.lateStarts, [&](LateStart &it) {
        Worker *worker = m_workers.find(it.worker);
        if (worker != nullptr) {
            const Timestamp lastLease = worker->leaseOrderedAt + m_settings.maxOrderDelay;
            if (worker->unansweredRenewals > 0)
                it.lapsesAt =
                        std::max(it.lapsesAt, LeaseClock::expiryOf(lastLease, m_settings.maxLease));
            if (now >= it.until && worker->listedAt < it.until)
                worker->immediateRenewalAt = std::min(worker->immediateRenewalAt, now);
        }
        const bool isShown = worker != nullptr && worker->listedAt >= it.until;
        if (!isShown && now < it.lapsesAt)
            return false;
        if (!findRun(ref, it.run).task) {
            clearExposure(now, ref, it.run);
            markOver(now, ref, it.run);
        }
        return true;
    });
}

void JobScheduler::holdBack(Timestamp now, const TaskRef &ref)
{
    Task &task = ref.get();
    if (task.mayRunUnseen)
        return;
    task.mayRunUnseen = true;
    m_unseenTasks.push_back(ref.key());
    ++m_counts.heldTasks;
    const LateStart &last = *std::ranges::max_element(task.lateStarts, {}, &LateStart::until);
    note("task-held", { .task = ref.key(), .run = last.run }, m_workers.find(last.worker),
         "starts=" + std::to_string(task.lateStarts.size()) + " until-ms="
                 + std::to_string((last.until - now) / std::chrono::milliseconds(1)) + " lapses-ms="
                 + std::to_string((last.lapsesAt - now) / std::chrono::milliseconds(1)));
}

bool JobScheduler::startWhereLate(Timestamp now, const TaskRef &ref)
{
    Task &task = ref.get();
    Step *step = ref.step;
    if (task.lateStarts.empty() || step->spec->gang || !step->mayStart() || hasUsedAttempts(ref)
        || m_isFenced || isRecordOverdue(now) || task.crashes.isSuspect())
        return false;
    const WorkerName &name = task.lateStarts.front().worker;
    Worker *worker = m_workers.find(name);
    const auto isElsewhere = [&](const LateStart &it) { return it.worker != name; };
    if (worker == nullptr || !worker->isFenced || std::ranges::any_of(task.lateStarts, isElsewhere)
        || m_placer.findObstacle(now, *worker, *step) != PlacementObstacle::None)
        return false;
    task.mayRunUnseen = false;
    note("task-starts-where-late", { .task = ref.key(), .run = task.lateStarts.front().run },
         worker, {});
    startRun(now, ref, worker, nextRunNumber(task));
    return true;
}

void JobScheduler::noteStartedBy(Timestamp now, Worker *worker, const RunRef &ref,
                                 std::optional<std::int64_t> clockMs)
{
    if (!clockMs || !worker->lease.isKnown())
        return;
    if (worker->lease.continues(now, *clockMs)) {
        noteStartedBy(now, ref, worker->life.born);
        return;
    }
    note("start-by-other-incarnation", ref.key(), worker, "clock-ms=" + std::to_string(*clockMs));
    worker->immediateRenewalAt = std::min(worker->immediateRenewalAt, now);
}

void JobScheduler::noteStartedBy(Timestamp now, const RunRef &ref, Incarnation incarnation)
{
    Run &run = ref.get();
    if (run.startedBy == incarnation)
        return;
    run.startedBy = incarnation;
    m_startedRuns.emplace_back(ref.key(), now);
}

void JobScheduler::recordConfirmedStarts(Timestamp now)
{
    std::deque<std::pair<RunKey, Timestamp>> later;
    while (!m_startedRuns.empty() && now - m_startedRuns.front().second >= confirmDelay) {
        const auto [key, since] = m_startedRuns.front();
        m_startedRuns.pop_front();
        const RunRef ref = findRun(m_jobs.find(key.task), key.run);
        if (!ref.task || !ref.get().startedBy)
            continue;
        if (isLate(now, ref.get())) {
            later.emplace_back(key, now);
            continue;
        }
        CrashHistory &crashes = ref.task.get().crashes;
        const CrashExposure *exposure = crashes.find(key.run);
        if (exposure == nullptr || exposure->isConfirmed || exposure->hasCrashed)
            continue;
        recordExposure(now, key.task, ExposureChange::Confirmed, *exposure);
        crashes.confirm(key.run);
    }
    m_startedRuns.insert(m_startedRuns.end(), later.begin(), later.end());
}

bool JobScheduler::mayRetryStart(const Worker &worker, const RunRef &ref) const
{
    const StepSpec &spec = *ref.task.step->spec;
    const Job &job = *ref.task.step->job;
    const CrashExposure *exposure = ref.task.get().crashes.find(ref.get().number);
    return ref.get().phase == RunPhase::Starting && ref.get().startRetries < maxStartRetries
            && !spec.gang && !spec.speculative && job.phase == JobPhase::Active
            && exposure != nullptr && !exposure->hasCrashed && !worker.life.draining
            && worker.leftAt == Timestamp::max() && !m_closedZones.isClosed(worker.life.zone)
            && worker.life.pool == job.pool && !m_isFenced;
}

void JobScheduler::retryStarts(Timestamp now)
{
    std::erase_if(m_startRetries, [&](const RunKey &key) {
        const RunRef ref = findRun(m_jobs.find(key.task), key.run);
        if (!ref.task || ref.get().phase != RunPhase::Starting || ref.get().startInFlight)
            return true;
        Run &run = ref.get();
        Worker *worker = m_workers.find(run.worker);
        if (!mayRetryStart(*worker, ref)) {
            requestStop(now, ref, "start-unanswered");
            return true;
        }
        const bool isInTouch = worker->isRecorded && worker->isKnown && !worker->awaitsReport
                && worker->unansweredRenewals == 0;
        if (now < run.startRetryAt || !isInTouch)
            return false;
        ++run.startRetries;
        ++m_counts.startRetries;
        note("start-retried", key, worker, "retries=" + std::to_string(run.startRetries));
        if (std::ranges::find(worker->trials, key) != worker->trials.end())
            worker->holdForTrial(now, ref.task.get().crashes.trialLength(m_settings.crashes));
        orderStart(now, ref, worker->unusedCapacity(), 0);
        return true;
    });
}

bool JobScheduler::isEarlierLife(WorkerId id, std::uint32_t life) const
{
    const Worker *worker = m_workers.find(id);
    return worker != nullptr && life < worker->lifeNumber;
}

} // namespace acaciafork::jobs
