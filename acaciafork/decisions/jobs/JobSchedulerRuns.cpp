#include <algorithm>

#include "acaciafork/decisions/jobs/DisruptionBudget.h"
#include "acaciafork/decisions/jobs/JobScheduler.h"

// Starting and stopping runs, and handling their ends.

namespace acaciafork::jobs {
namespace {

/// Number of run numbers reserved for each tenure, so that a later tenure assigns higher numbers
/// without knowing the earlier ones.
constexpr std::uint64_t runNumbersPerTenure = 100'000;

} // namespace

RunRef JobScheduler::findRun(TaskRef task, RunNumber number)
{
    if (!task || !task.get().hasRun())
        return {};
    for (std::size_t slot = 0; slot < maxRunsPerTask; ++slot) {
        const Run &run = task.get().record().runs.at(slot);
        if (run.exists() && run.number == number)
            return { .task = task, .slot = slot };
    }
    return {};
}

OrderTarget JobScheduler::targetOf(const Worker &worker)
{
    return { .worker = worker.id,
             .name = worker.life.name,
             .born = worker.life.born,
             .address = worker.life.address,
             .zone = worker.life.zone,
             .life = worker.lifeNumber };
}

std::uint64_t JobScheduler::firstRunNumber() const
{
    return (m_tenure.value - 1) * runNumbersPerTenure;
}

RunNumber JobScheduler::nextRunNumber(const Task &task) const
{
    return { std::max(task.record().lastRun.value, firstRunNumber()) + 1 };
}

void JobScheduler::startRun(Timestamp now, TaskRef ref, Worker *worker, RunNumber number,
                            PlacementMode mode)
{
    const Size freeBefore = worker->unusedCapacity();
    const RunRef run = reserveRun(now, ref, worker, number, mode);
    openExposure(now, worker, run, false);
    orderStart(now, run, freeBefore, m_lastExposureBatch + 1);
}

RunRef JobScheduler::reserveRun(Timestamp now, TaskRef ref, Worker *worker, RunNumber number,
                                PlacementMode mode)
{
    TaskRecord &record = ref.ensureRecord();
    const std::size_t slot = record.runs[0].exists() ? 1 : 0;
    ACACIAFORK_ASSERT(!record.runs.at(slot).exists());
    record.lastRun = number;
    record.runs.at(slot) = {
        .number = number, .phase = RunPhase::Recording, .worker = worker->id, .startedAt = now
    };
    const RunRef run { .task = ref, .slot = slot };
    if (mode == PlacementMode::Overdue && ref.step->spec->fills) {
        run.get().percent =
                std::min(worker->backfillPercent, m_placer.acceptablePercent(*worker, ref.step));
        run.get().isOverdue = true;
        run.get().isSlow = m_placer.mayBeSlow(*ref.step);
        m_overdueStarts.started(*worker, ref.step->image);
    }
    // No renewals are sent to a worker without runs, so a change of its incarnation would have gone
    // unnoticed.
    worker->isIncarnationConfirmed = worker->isIncarnationConfirmed && !worker->runs.empty();
    if (m_settings.cautiousBackfill && ref.step->spec->fills)
        explorePairs(now, worker, run);
    if (!ref.step->spec->longRunning && passesOverLongRunning(*worker))
        ++m_counts.passedOver;
    worker->runs.push_back(run);
    worker->reserve(*ref.step);
    if (const auto gap = m_gaps.started(now, *worker, *ref.step)) {
        ++m_counts.gapsUsed;
        m_counts.gapsKept = m_gaps.kept().size();
        note("gap-used", run.key(), worker, gap->describe(now));
    }
    ref.step->rack = worker->life.rack;
    ref.step->waitingSince = now;
    ++ref.step->job->runCount;
    ++ref.step->parent->runCount;
    return run;
}

void JobScheduler::orderStart(Timestamp now, const RunRef &ref, const Size &freeBefore,
                              std::uint64_t recordedBy)
{
    Run &run = ref.get();
    Step *step = ref.task.step;
    Worker *worker = m_workers.find(run.worker);
    ACACIAFORK_ASSERT(worker != nullptr);
    ACACIAFORK_ASSERT(!m_closedZones.isClosed(worker->life.zone));
    run.phase = recordedBy == 0 ? RunPhase::Starting : RunPhase::Recording;
    run.startedAt = now;
    run.orderedFor = worker->lifeNumber;
    ++m_counts.started;
    const Permit *permit =
            step->permits() == nullptr ? nullptr : step->permits()->find(*worker, now);
    run.startDeadlineMs = worker->grantLease(now, m_settings.lease);
    const bool isOnlyRun = step->job->runCount == 1;
    const Duration jobIdle = isOnlyRun ? now - step->job->afterLastRun(step->readyAt) : Duration {};
    m_commands.emplace_back(StartRun { .target = targetOf(*worker),
                                       .run = ref.key(),
                                       .leaseEndMs = run.startDeadlineMs,
                                       .checkpoint = step->checkpointOf(ref.task.get()),
                                       .permit = permit == nullptr ? std::string() : permit->text,
                                       .freeBefore = freeBefore,
                                       .waited = now - step->readyAt,
                                       .jobIdle = jobIdle,
                                       .image = step->spec->image,
                                       .timeout = m_settings.startTimeout,
                                       .recordedBy = recordedBy });
}

void JobScheduler::dropFromReady(TaskRef ref)
{
    Task &task = ref.get();
    if (!task.isReady)
        return;
    task.isReady = false;
    if (task.awaitsTrial) {
        task.awaitsTrial = false;
        return;
    }
    std::erase(ref.step->ready, ref.task);
    if (ref.step->ready.empty())
        m_order.erase(ref.step);
}

bool JobScheduler::adoptRun(Timestamp now, TaskRef ref, const RunningRow &row, Worker *worker)
{
    Task &task = ref.get();
    if (task.done || ref.step->job->phase != JobPhase::Active)
        return false;
    const bool mayCopy = ref.step->spec->speculative && !ref.get().record().runs[1].exists();
    if (task.hasRun() && !mayCopy)
        return false;
    TaskRecord &record = ref.ensureRecord();
    const std::size_t slot = record.runs[0].exists() ? 1 : 0;
    record.runs.at(slot) = { .number = row.run.run,
                             .phase = RunPhase::Running,
                             .worker = worker->id,
                             .startedAt = now,
                             .confirmedAt = now,
                             .orderedFor = worker->lifeNumber };
    record.lastRun = std::max(record.lastRun, row.run.run);
    task.idleSince = Timestamp::max();
    task.mayRunUnseen = false;
    noteRun(ref);
    ref.step->updateCheckpoint(ref.task, row.checkpoint);
    dropFromReady(ref);
    worker->runs.push_back({ .task = ref, .slot = slot });
    worker->reserve(*ref.step);
    ++ref.step->job->runCount;
    ++ref.step->parent->runCount;
    note("run-adopted", row.run, worker, {});
    // The list was made in this tenure, when earlier leaders no longer decided. Of a gang or a
    // copied task, another run may have ended before.
    if (m_settings.promptTakeOver && !ref.step->spec->gang && !ref.step->spec->speculative)
        ref.step->clearUnseenSuccessors();
    const auto exposed = std::ranges::find(worker->exposedRuns, row.run, &ExposedRun::run);
    if (exposed != worker->exposedRuns.end())
        exposed->startedAt = std::min(exposed->startedAt, now);
    const CrashExposure *exposure = record.crashes.find(row.run.run);
    if (exposure != nullptr && exposure->isTrial && !exposure->hasCrashed
        && !exposure->hasSurvived) {
        // The rest of an earlier leader's trial can't be told: it begins anew.
        worker->trials.push_back(row.run);
        worker->holdForTrial(now, record.crashes.trialLength(m_settings.crashes));
        worker->immediateRenewalAt = std::min(worker->immediateRenewalAt, worker->trialEndsAt);
    }
    return true;
}

void JobScheduler::requestStop(Timestamp now, const RunRef &ref, std::string_view reason)
{
    Run &run = ref.get();
    if (run.phase != RunPhase::Stopping)
        run.stoppingSince = now;
    run.phase = RunPhase::Stopping;
    if (run.stopInFlight || run.stopConfirmed)
        return;
    const Worker *worker = m_workers.find(run.worker);
    ACACIAFORK_ASSERT(worker != nullptr);
    run.stopInFlight = true;
    run.stopRetryAt = now + m_settings.retryDelay;
    if (m_settings.cautiousBackfill && ref.task.step->spec->fills)
        neighbourGone(now, *worker, *ref.task.step);
    m_commands.emplace_back(
            StopRun { .target = targetOf(*worker), .run = ref.key(), .reason = reason });
}

bool JobScheduler::stopByChoice(Timestamp now, const RunRef &ref, std::string_view reason)
{
    Run &run = ref.get();
    if (DisruptionBudget::allows(now, ref)) {
        requestStop(now, ref, reason);
        return true;
    }
    if (!run.isStopDenied)
        note("stop-denied", ref.key(), m_workers.find(run.worker),
             "reason=" + std::string(reason)
                     + " budget=" + std::to_string(ref.task.step->spec->disruptionBudget));
    run.isStopDenied = true;
    return false;
}

void JobScheduler::releaseRun(Timestamp now, const RunRef &ref)
{
    Run &run = ref.get();
    Worker *worker = m_workers.find(run.worker);
    ACACIAFORK_ASSERT(worker != nullptr);
    const auto it = std::ranges::find(worker->runs, ref);
    ACACIAFORK_ASSERT(it != worker->runs.end());
    *it = worker->runs.back();
    worker->runs.pop_back();
    worker->release(*ref.task.step);
    if (ref.task.step->spec->fills)
        m_exploration.ended(worker->id, ref.task.step->image);
    std::erase(worker->trials, ref.key());
    Job *job = ref.task.step->job;
    // A start that fails is no turn, whether its stop was confirmed or not.
    const bool hasRun = ref.task.get().idleSince == Timestamp::max() || run.listedBy;
    if (hasRun && run.confirmedAt != Timestamp {})
        job->lastRunOverAt = now;
    run = {};
    --job->runCount;
    --ref.task.step->parent->runCount;
    m_placementDue = true;
    if (ref.task.get().done)
        m_doneTasks.push_back(ref.task.key());
    removeIfFinished(job);
}

RunRef JobScheduler::findAnswered(WorkerId id, const RunKey &key, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Fenced)
        becomeFenced(m_workers.find(id));
    const RunRef ref = findRun(m_jobs.find(key.task), key.run);
    const bool isCurrent = ref.task && ref.get().worker == id && m_workers.find(id) != nullptr;
    return isCurrent ? ref : RunRef {};
}

void JobScheduler::startAnswered(Moment at, WorkerId id, const RunKey &key, OrderOutcome outcome)
{
    const Timestamp now = at.now;
    const RunRef ref = findAnswered(id, key, outcome);
    if (!ref.task)
        return;
    Worker *worker = m_workers.find(id);
    Run &run = ref.get();
    if (outcome == OrderOutcome::Done) {
        worker->lastHeardAt = now;
        run.confirmedAt = now;
        if (run.phase == RunPhase::Recording || run.phase == RunPhase::Starting)
            run.phase = RunPhase::Running;
        startConfirmed(now, worker, ref);
        // Workers start every task at its full share.
        if (run.isOverdue && run.phase == RunPhase::Running && run.percent < wholePercent) {
            worker->pacedAt = now;
            orderPace(now, *worker, ref, run.percent);
        }
        return;
    }
    worker->isIncarnationConfirmed = false;
    note("start-failed", key, worker, "outcome=" + std::string(orderOutcomeName(outcome)));
    if (outcome == OrderOutcome::Unanswered) {
        // The run may still start: only a confirmed stop or the expiry of the lease rules that out.
        ++m_counts.unanswered;
        startFailed(now, worker, ref);
        requestStop(now, ref, "start-unanswered");
        // The other members would wait until their workers time out.
        if (ref.task.step->spec->gang)
            stopGang(now, ref.task.step, "member-unanswered");
        return;
    }

    // Refused or not sent: nothing runs.
    ++m_counts.refused;
    clearExposure(now, ref.task, key.run);
    if (run.phase == RunPhase::Recording || run.phase == RunPhase::Starting
        || run.phase == RunPhase::Stopping) {
        Step *step = ref.task.step;
        if (outcome == OrderOutcome::NoPermit && step->permits() != nullptr)
            step->permits()->discard(worker->life.name);
        else if (outcome != OrderOutcome::OldRun)
            startFailed(now, worker, ref);
        if (outcome == OrderOutcome::OtherLife)
            worker->avoidUntil = std::max(worker->avoidUntil, now + m_settings.avoidAfterFailures);
        releaseRun(now, ref);
        if (step->spec->gang)
            stopGang(now, step, "member-refused");
        requeue(now, ref.task);
    }
}

void JobScheduler::startFailed(Timestamp now, Worker *worker, const RunRef &run)
{
    worker->startFailed(now, run.get().startedAt);
    Duration length = m_settings.avoidAfterRefusal;
    for (std::uint32_t it = 1; it < worker->failedStarts; ++it)
        length = std::min(2 * length, m_settings.maxAvoidAfterRefusal);
    worker->avoidUntil = std::max(worker->avoidUntil, now + length);
    ++run.task.step->failedStarts;
}

void JobScheduler::startConfirmed(Timestamp now, Worker *worker, const RunRef &run) const
{
    worker->startConfirmed(now);
    run.task.get().idleSince = Timestamp::max();
    noteRun(run.task);
    run.task.step->failedStarts = 0;
}

void JobScheduler::noteRun(const TaskRef &task)
{
    task.get().hasRunBefore = true;
    task.step->job->hasBegun = true;
}

void JobScheduler::stopAnswered(Moment at, WorkerId id, const RunKey &key, OrderOutcome outcome)
{
    const RunRef ref = findAnswered(id, key, outcome);
    if (!ref.task)
        return;
    Run &run = ref.get();
    run.stopInFlight = false;
    run.stopRetryAt = at.now + m_settings.retryDelay;
    if (outcome != OrderOutcome::Done)
        return;
    // From now on the worker's lists show whether it still runs.
    run.stopConfirmed = true;
    run.confirmedAt = at.now;
    // If it ran, its end is listed by then; if it never started, its absence from the list shows
    // that.
    Worker *worker = m_workers.find(id);
    worker->immediateRenewalAt =
            std::min(worker->immediateRenewalAt,
                     at.now + m_settings.stopTimeout + 3 * m_settings.recordDelay);
}

// ---- run ends

void JobScheduler::handleRunEnd(Timestamp now, Worker *worker, const EndedRow &row)
{
    worker->seenEnds = row.number;
    const TaskRef task = findOrOpen(now, row.run.task);
    if (!task)
        return;
    noteRun(task);
    const RunRef ref = findRun(task, row.run.run);
    const bool isOurs = ref.task && ref.get().worker == worker->id;
    if (row.end != RunEnd::Done || !task.get().done) {
        const Duration took = isOurs ? now - ref.get().startedAt : Duration {};
        note("run-ended", row.run, worker,
             "end=" + std::string(runEndName(row.end)) + " number=" + std::to_string(row.number)
                     + " took-ms=" + std::to_string(took / std::chrono::milliseconds(1)));
    }
    // Also accepts the checkpoint of a run that an earlier leader started, unless a later run is
    // known.
    if (!task.get().done) {
        TaskRecord &record = task.ensureRecord();
        if (isOurs || row.run.run >= record.lastRun)
            task.step->updateCheckpoint(task.task, row.checkpoint);
        record.lastRun = std::max(record.lastRun, row.run.run);
    }
    clearEndedExposure(now, task, row);

    Step *step = task.step;
    if (isOurs) {
        if (row.end == RunEnd::Done) {
            step->longestTaskTime = std::max(step->longestTaskTime, now - ref.get().startedAt);
            ++step->doneCount;
        }
        if (m_settings.cautiousBackfill && step->spec->fills)
            neighbourGone(now, *worker, *step);
        releaseRun(now, ref);
    }
    switch (row.end) {
    case RunEnd::Done:
        taskDone(now, task, row.run.run, worker);
        break;
    case RunEnd::Failed:
        taskFailed(now, task, row.run.run, worker);
        break;
    case RunEnd::Lapsed:
    case RunEnd::Stopped:
    case RunEnd::Broken:
    case RunEnd::Alone:
        if (isOurs && step->spec->gang)
            stopGang(now, step, "member-ended");
        requeue(now, task);
        break;
    }
}

void JobScheduler::clearEndedExposure(Timestamp now, TaskRef ref, const EndedRow &row)
{
    if (ref.get().ownRecord == nullptr)
        return;
    TaskRecord &record = *ref.get().ownRecord;
    const RunNumber run = row.run.run;
    const CrashExposure *exposure = record.crashes.find(run);
    if (exposure == nullptr || exposure->hasCrashed)
        return;
    const bool isRecorded = ref.step->spec->longRunning
            || std::ranges::find(record.failedRuns, run.value) != record.failedRuns.end();
    if (isRecorded || (row.end != RunEnd::Done && row.end != RunEnd::Failed)) {
        clearExposure(now, ref, run);
        return;
    }
    // A new leader that knows neither the exposure nor the end would start the task again. The
    // record that a task is done clears its exposures.
    if (row.end == RunEnd::Failed)
        m_endedExposures.push_back(
                { .task = ref.key(), .change = ExposureChange::Cleared, .exposure = *exposure });
    record.crashes.clear(run);
}

void JobScheduler::taskDone(Timestamp now, TaskRef ref, RunNumber run, Worker *worker)
{
    worker->consecutiveFailures = 0;
    Step *step = ref.step;
    Job *job = step->job;
    if (step->spec->longRunning) {
        // A long-running task runs until its job is cancelled, however its runs end.
        requeue(now, ref);
        return;
    }
    Task &task = ref.get();
    if (task.done)
        return;
    markDone(now, ref, run, worker);
    // When one member is done, the whole gang is done.
    for (std::uint32_t it = 0; step->spec->gang && it < step->tasks.size(); ++it) {
        if (!step->tasks[it].done)
            markDone(now, { .step = step, .task = it }, run, worker);
    }
    for (std::size_t slot = 0; slot < maxRunsPerTask; ++slot) {
        const RunRef other { .task = ref, .slot = slot };
        if (other.exists())
            requestStop(now, other, "task-done");
    }
    if (job->phase != JobPhase::Active)
        return;
    if (step->remainingTasks == 0) {
        m_durations.observe(job->queue, step->spec->estimate, step->longestTaskTime);
        for (Step &later : step->parent->steps) {
            const bool waits =
                    std::ranges::find(later.spec->after, step->number) != later.spec->after.end();
            if (waits && --later.pendingPredecessors == 0 && later.mayStart())
                makeReady(now, &later, now);
        }
    }
    if (job->tasksLeft == 0) {
        m_flushEndsNow = true;
        endJob(now, job, JobPhase::Completed);
    }
}

void JobScheduler::markDone(Timestamp now, TaskRef ref, RunNumber run, Worker *worker)
{
    ref.get().done = true;
    if (ref.get().ownRecord != nullptr)
        ref.get().ownRecord->crashes.reset();
    ++m_counts.done;
    --ref.step->remainingTasks;
    --ref.step->parent->tasksLeft;
    --ref.step->job->tasksLeft;
    m_doneTasks.push_back(ref.key());
    recordEnd(now, { .task = ref.key(), .run = run }, false, worker);
    dropFromReady(ref);
}

void JobScheduler::taskFailed(Timestamp now, TaskRef ref, RunNumber run, Worker *worker)
{
    const Task &task = ref.get();
    // An earlier leader may already have recorded this run end.
    const std::vector<std::uint64_t> &failedRuns = task.record().failedRuns;
    if (std::ranges::find(failedRuns, run.value) != failedRuns.end()) {
        requeue(now, ref);
        return;
    }
    ++m_counts.failed;
    Step *step = ref.step;
    Job *job = step->job;
    if (!task.done)
        ref.ensureRecord().lastFailedWorker = worker->id;
    if (worker->lastFailedJob != job->id) {
        worker->lastFailedJob = job->id;
        // A task that failed before may be at fault itself, so this worker is not blamed.
        if (task.record().failedRuns.empty()
            && ++worker->consecutiveFailures >= m_settings.placer.suspectAfterFailures) {
            worker->avoidUntil = now + m_settings.avoidAfterFailures;
            note("worker-suspected", {}, worker,
                 "failures=" + std::to_string(worker->consecutiveFailures));
        }
    }
    if (step->spec->gang)
        stopGang(now, step, "member-failed");
    if (task.done || job->phase != JobPhase::Active)
        return;
    if (step->spec->longRunning) {
        requeue(now, ref);
        return;
    }
    ref.ensureRecord().failedRuns.push_back(run.value);
    recordEnd(now, { .task = ref.key(), .run = run }, true, worker);
    if (step->spec->gang) {
        // The gang fails as a whole: the failure counts for every member, so the attempts are
        // counted correctly whichever member fails next.
        for (std::uint32_t it = 0; it < step->tasks.size(); ++it) {
            if (it == ref.task)
                continue;
            TaskRef { .step = step, .task = it }.ensureRecord().failedRuns.push_back(run.value);
            recordEnd(now, { .task = step->key(it), .run = run }, true, worker);
        }
    }
    if (!hasUsedAttempts(ref)) {
        requeue(now, ref);
        return;
    }
    giveUpJob(now, ref, worker, {});
}

void JobScheduler::giveUpJob(Timestamp now, TaskRef ref, const Worker *worker, std::string detail)
{
    if (detail.empty())
        detail = "attempts=" + std::to_string(ref.get().record().failedRuns.size());
    note("job-failed", { .task = ref.key(), .run = {} }, worker, std::move(detail));
    m_failedJobs.push_back(ref.step->job->id);
    m_flushEndsNow = true;
    endJob(now, ref.step->job, JobPhase::Failed);
}

bool JobScheduler::hasUsedAttempts(const TaskRef &ref)
{
    return !ref.step->spec->longRunning
            && ref.get().record().failedRuns.size() >= ref.step->job->maxAttempts;
}

void JobScheduler::failIfExhausted(Timestamp now, Job *job)
{
    for (Step &step : job->steps()) {
        // Until the take-over ends, the last run may still be active on a worker not reached yet.
        if (!step.mayStart() || awaitsTakeOver(step))
            continue;
        for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
            const TaskRef task { .step = &step, .task = it };
            if (!task.get().isReady || !hasUsedAttempts(task))
                continue;
            giveUpJob(now, task, nullptr, {});
            return;
        }
    }
}

void JobScheduler::stopGang(Timestamp now, Step *step, std::string_view reason)
{
    for (std::uint32_t it = 0; it < step->tasks.size(); ++it) {
        for (std::size_t slot = 0; slot < maxRunsPerTask; ++slot) {
            const RunRef run { .task = { .step = step, .task = it }, .slot = slot };
            if (run.exists() && run.get().phase != RunPhase::Stopping)
                requestStop(now, run, reason);
        }
    }
}

void JobScheduler::markRunsLost(Timestamp now, Worker *worker, std::string_view reason)
{
    while (!worker->runs.empty())
        loseRun(now, worker, worker->runs.back(), reason);
}

void JobScheduler::loseRun(Timestamp now, const Worker *worker, RunRef ref, std::string_view reason)
{
    ++m_counts.lost;
    const std::uint32_t lostRuns = ++ref.task.ensureRecord().lostRuns;
    m_counts.mostLostRuns = std::max(m_counts.mostLostRuns, lostRuns);
    note("run-lost", ref.key(), worker,
         "reason=" + std::string(reason) + " lost-runs=" + std::to_string(lostRuns));
    endExposure(now, ref);
    releaseRun(now, ref);
    requeue(now, ref.task);
}

} // namespace acaciafork::jobs
