#include <algorithm>
#include <set>
#include <unordered_set>

#include "acaciafork/decisions/jobs/JobScheduler.h"

// Crashes of workers, and trials of the tasks that may have caused them.

namespace acaciafork::jobs {
namespace {

/// A worker is kept for a trial for its isolation time and this long: the time to confirm what was
/// starting there, and for some of its runs to make room.
constexpr Duration reservationMargin = std::chrono::seconds(1);

} // namespace

// ---- crashes

void JobScheduler::workerEnded(Timestamp now, Worker *worker, std::string_view evidence)
{
    worker->hasCrashed = true;
    if (worker->unansweredRenewals == 0)
        noteSilence(now, worker);
    if (worker->life.draining) {
        clearOldExposures(now, worker);
        return;
    }
    ++m_counts.workerCrashes;
    note("worker-crashed", {}, worker,
         "evidence=" + std::string(evidence) + " runs=" + std::to_string(worker->runs.size()));
    if (!worker->wasInTrial)
        m_crashRate.add(1);
    const std::uint32_t trialBlame = CrashHistory::blameOf(ordinaryCrashProbability(*worker));
    // No trial lasts long enough to tell whether a run that was at work for longer is the cause.
    const Timestamp suspectedFrom = worker->heardBeforeSilence - m_settings.crashes.maxTrialLength;
    std::vector<ExposedRun> runs;
    runs.swap(worker->exposedRuns);
    for (const ExposedRun &it : runs) {
        const TaskRef task = m_jobs.find(it.run.task);
        const CrashExposure *exposure = task ? task.get().crashes().find(it.run.run) : nullptr;
        if (exposure == nullptr || exposure->hasCrashed)
            continue;
        // Its start was not ordered yet.
        const RunRef run = findRun(task, it.run.run);
        const bool isRecording = run.task && run.get().phase == RunPhase::Recording;
        if (isRecording) {
            clearExposure(now, task, it.run.run);
            continue;
        }
        if (exposure->isTrial || it.startedAt >= suspectedFrom)
            countCrash(now, task, *exposure, exposure->isTrial ? trialBlame : 0);
        else if (!mayRunInNextLife(run))
            clearExposure(now, task, it.run.run);
    }
}

bool JobScheduler::mayRunInNextLife(const RunRef &ref)
{
    return !ref.task || !ref.get().listedBy;
}

bool JobScheduler::mayStartLate(const RunRef &ref)
{
    // A confirmed stop says nothing about the start.
    return !ref.get().listedBy
            && (ref.get().confirmedAt == Timestamp {} || ref.get().stopConfirmed);
}

void JobScheduler::noteSilence(Timestamp now, Worker *worker)
{
    worker->heardBeforeSilence = worker->lastHeardAt;
    worker->silentSince = now;
    worker->wasInTrial = !worker->trials.empty();
}

void JobScheduler::retireWorker(Timestamp now, Worker *worker)
{
    // Its process is over, so nothing of it runs and no lease has to be waited for.
    markRunsLost(now, worker, "crashed");
    worker->lease = {};
    worker->isRecorded = false;
    m_removedWorkers.push_back(worker->life.name);
}

double JobScheduler::ordinaryCrashProbability(const Worker &worker) const
{
    const CrashSettings &settings = m_settings.crashes;
    // Of a trial that an earlier leader began, only its greatest length is known.
    if (!worker.wasInTrial)
        return m_crashRate.probability(settings.maxTrialLength);
    const double byRate = m_crashRate.probability(
            std::max(worker.silentSince - worker.trialBeganAt, settings.timeResolution));
    const Duration window = std::clamp(worker.silentSince - worker.heardBeforeSilence,
                                       settings.timeResolution, settings.maxJointCrashWindow);
    const auto others =
            static_cast<std::size_t>(std::ranges::count_if(m_workers.all(), [&](const auto &it) {
                const Worker &other = *it.second;
                return &other != &worker && other.unansweredRenewals > 0 && !other.wasInTrial
                        && std::chrono::abs(other.silentSince - worker.silentSince) < window;
            }));
    if (others < settings.jointCrashes)
        return byRate;
    const double byEvent =
            static_cast<double>(others + 1) / static_cast<double>(m_workers.all().size());
    return std::max(byRate, byEvent);
}

void JobScheduler::countCrash(Timestamp now, TaskRef ref, const CrashExposure &exposure,
                              std::uint32_t blame)
{
    Task &task = ref.get();
    Job *job = ref.step->job;
    CrashExposure crashed = exposure;
    crashed.hasCrashed = true;
    crashed.blame = blame;
    const RunRef run = findRun(ref, exposure.run);
    crashed.isOver = crashed.isOver || !mayRunInNextLife(run);
    CrashHistory &crashes = ref.ensureRecord().crashes;
    *crashes.find(exposure.run) = crashed;
    recordExposure(now, ref.key(), ExposureChange::Crashed, crashed);
    const std::string counts = "crashes=" + std::to_string(crashes.crashes())
            + " blame=" + std::to_string(crashes.blame());
    note("task-suspected", { .task = ref.key(), .run = exposure.run },
         m_workers.find(exposure.worker), counts);
    if (job->phase != JobPhase::Active)
        return;
    if (crashes.isConvicted(m_settings.crashes)) {
        ++m_counts.convictedTasks;
        giveUpJob(now, ref, m_workers.find(exposure.worker), "reason=crashes-workers " + counts);
        return;
    }
    // From the ready tasks to those that wait for a trial.
    if (task.isReady && !task.awaitsTrial && !ref.step->spec->gang) {
        dropFromReady(ref);
        requeue(now, ref);
    }
}

void JobScheduler::openExposure(Timestamp now, Worker *worker, const RunRef &ref, bool isTrial)
{
    const CrashExposure exposure { .run = ref.get().number,
                                   .worker = worker->life.name,
                                   .born = worker->life.born,
                                   .isTrial = isTrial };
    ref.task.ensureRecord().crashes.open(exposure);
    worker->exposedRuns.push_back({ .run = ref.key(), .startedAt = now });
    recordExposure(now, ref.task.key(), ExposureChange::Opened, exposure);
    // The order waits for the record.
    m_flushExposuresNow = true;
}

void JobScheduler::clearExposure(Timestamp now, TaskRef ref, RunNumber run)
{
    const CrashExposure *exposure = ref.get().crashes().find(run);
    if (exposure == nullptr || exposure->hasCrashed)
        return;
    recordExposure(now, ref.key(), ExposureChange::Cleared, *exposure);
    ref.ensureRecord().crashes.clear(run);
}

void JobScheduler::endExposure(Timestamp now, const RunRef &ref)
{
    if (ref.get().phase == RunPhase::Recording)
        clearExposure(now, ref.task, ref.get().number);
    else if (!mayStartLate(ref))
        markOver(now, ref.task, ref.get().number);
}

void JobScheduler::markOver(Timestamp now, TaskRef ref, RunNumber run)
{
    const CrashExposure *exposure = ref.get().crashes().find(run);
    if (exposure == nullptr || exposure->isOver)
        return;
    recordExposure(now, ref.key(), ExposureChange::Over, *exposure);
    ref.ensureRecord().crashes.markOver(run);
}

void JobScheduler::clearOldExposures(Timestamp now, Worker *worker)
{
    std::erase_if(worker->exposedRuns, [&](const ExposedRun &it) {
        const TaskRef task = m_jobs.find(it.run.task);
        const RunRef run = findRun(task, it.run.run);
        if (run.task && run.get().worker == worker->id && !worker->hasCrashed)
            return false;
        if (!worker->hasCrashed && now < worker->stoppedRunsUntil
            && it.run.run.value <= firstRunNumber())
            return false;
        if (task && !(worker->hasCrashed && mayRunInNextLife(run)))
            clearExposure(now, task, it.run.run);
        return true;
    });
}

void JobScheduler::recordExposure(Timestamp now, const TaskKey &task, ExposureChange change,
                                  const CrashExposure &exposure)
{
    if (m_exposureRecords.empty())
        m_oldestExposureAt = now;
    m_flushExposuresNow = m_flushExposuresNow || exposure.hasCrashed;
    m_exposureRecords.push_back({ .task = task, .change = change, .exposure = exposure });
}

void JobScheduler::restoreExposures(Timestamp now)
{
    const std::uint32_t blameUnobserved =
            CrashHistory::blameOf(m_crashRate.probability(m_settings.crashes.maxTrialLength));
    for (const auto &[id, job] : m_jobs.all()) {
        for (Step &step : job->steps()) {
            for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
                const TaskRef task { .step = &step, .task = it };
                if (task.get().ownRecord == nullptr)
                    continue;
                const std::span exposures = task.get().crashes().exposures();
                const std::vector<CrashExposure> open(exposures.begin(), exposures.end());
                for (const CrashExposure &exposure : open) {
                    Worker *worker = m_workers.find(exposure.worker);
                    if (exposure.hasCrashed || exposure.hasSurvived || worker == nullptr)
                        continue;
                    if (worker->life.born == exposure.born)
                        worker->exposedRuns.push_back(
                                { .run = { .task = task.key(), .run = exposure.run } });
                    else if (worker->life.born > exposure.born)
                        countCrash(now, task, exposure, exposure.isTrial ? blameUnobserved : 0);
                }
            }
        }
    }
}

void JobScheduler::flushExposures(Timestamp now)
{
    if (m_exposureRecords.empty()
        || (!m_flushExposuresNow && now - m_oldestExposureAt < m_settings.recordDelay))
        return;
    const std::uint64_t batch = ++m_lastExposureBatch;
    m_exposureBatches[batch] = { .since = now, .trials = std::move(m_pendingTrials) };
    m_pendingTrials.clear();
    m_commands.emplace_back(
            RecordExposures { .batch = batch, .records = std::move(m_exposureRecords) });
    m_exposureRecords.clear();
    m_flushExposuresNow = false;
}

// ---- trials

void JobScheduler::placeTrials(Timestamp now)
{
    m_unplacedTrials.clear();
    std::set<TaskKey> reserved;
    for (const auto &[id, worker] : m_workers.all()) {
        if (now < worker->reservedUntil)
            reserved.insert(worker->reservedFor);
    }
    std::vector<WaitingSuspect> waiting;
    waiting.swap(m_waitingSuspects);
    std::unordered_set<const Step *> steps;
    for (const WaitingSuspect &it : waiting) {
        if (const TaskRef task = m_jobs.find(it.task); task && task.get().awaitsTrial)
            steps.insert(task.step);
    }
    std::vector<TrialCandidate> candidates;
    if (!steps.empty())
        candidates =
                m_placer.trialCandidates(now, m_workers, m_settings.crashes.trialLength, steps);
    // Tasks of one step differ only in the isolation times of their trials.
    std::map<const Step *, Duration> failed;
    std::size_t failedCount = 0;
    std::size_t begunCount = 0;
    const bool isOverdue = isRecordOverdue(now);
    const auto mayTry = [&](const TaskRef &task) {
        return !isOverdue && !awaitsTakeOver(*task.step);
    };
    const auto tryTrial = [&](WaitingSuspect *it) {
        const TaskRef task = m_jobs.find(it->task);
        // An earlier entry may have been for the same task.
        if (!task || !task.get().awaitsTrial)
            return;
        const Duration isolation = isolationTime(task.get(), now - it->since);
        it->triedAt = now;
        const auto known = failed.find(task.step);
        if (known != failed.end() && known->second <= isolation)
            return;
        if (placeTrial(now, task, it->since, candidates)) {
            ++begunCount;
            return;
        }
        failed[task.step] = isolation;
        failedCount += reserved.contains(task.step->key(0)) ? 0 : 1;
    };
    // Those that have waited longest come first; any number of them may fit nowhere, so half of
    // the tries go to the others in turn.
    std::vector<WaitingSuspect *> later;
    const std::size_t most = m_settings.crashes.maxTrialsPerRound;
    for (WaitingSuspect &it : waiting) {
        if (begunCount >= most)
            break;
        const TaskRef task = m_jobs.find(it.task);
        if (!task || !task.get().awaitsTrial || !mayTry(task))
            continue;
        if (failedCount < most / 2 || reserved.contains(task.step->key(0)))
            tryTrial(&it);
        else
            later.push_back(&it);
    }
    std::ranges::stable_sort(later, {}, &WaitingSuspect::triedAt);
    for (WaitingSuspect *it : later) {
        if (failedCount >= most || begunCount >= most)
            break;
        tryTrial(it);
    }
    // The remaining trials are left to the next round.
    m_placementDue = m_placementDue || begunCount >= most;
    for (const WaitingSuspect &it : waiting) {
        const TaskRef task = m_jobs.find(it.task);
        if (!task || !task.get().awaitsTrial)
            continue;
        m_waitingSuspects.push_back(it);
        // No worker is reserved for tasks that this round has not tried.
        if (mayTry(task) && (begunCount < most || it.triedAt == now))
            m_unplacedTrials.push_back(task.step);
    }
}

Duration JobScheduler::isolationTime(const Task &task, Duration waited) const
{
    // A longer isolation rules out more of the tasks beside it. With a short one, a crash is no
    // more likely than on any worker where tasks start, and the blame is computed from that rate.
    return waited >= m_settings.overdueAfter ? m_settings.crashes.trialLength
                                             : task.crashes().trialLength(m_settings.crashes);
}

bool JobScheduler::placeTrial(Timestamp now, TaskRef ref, Timestamp waitingSince,
                              std::span<const TrialCandidate> candidates)
{
    Task &task = ref.get();
    const bool isOverdue = now - waitingSince >= m_settings.overdueAfter;
    PlacementMode mode = PlacementMode::Usual;
    const Duration isolation = isolationTime(task, now - waitingSince);
    Worker *worker = m_placer.chooseForTrial(now, candidates, *ref.step, isolation, nullptr, mode);
    if (worker == nullptr && isOverdue) {
        mode = PlacementMode::Overdue;
        worker = m_placer.chooseForTrial(now, candidates, *ref.step, isolation, nullptr, mode);
    }
    if (worker == nullptr) {
        requestPermits(now, ref.step);
        return false;
    }
    dropFromReady(ref);
    beginTrial(now, ref, worker, nextRunNumber(task), mode);
    return true;
}

void JobScheduler::beginTrial(Timestamp now, TaskRef ref, Worker *worker, RunNumber number,
                              PlacementMode mode)
{
    const Size freeBefore = worker->unusedCapacity();
    const std::size_t beside = worker->runs.size();
    const RunRef run = reserveRun(now, ref, worker, number, mode);
    // The worker counts as leased from now on, since the order follows as soon as it is recorded.
    worker->grantLease(now, m_settings.lease);
    worker->trials.push_back(run.key());
    worker->holdForTrial(now, ref.get().crashes().trialLength(m_settings.crashes));
    worker->reservedUntil = now;
    openExposure(now, worker, run, true);
    m_pendingTrials.push_back({ .run = run.key(), .freeBefore = freeBefore });
    ++m_counts.trials;
    note("trial-began", run.key(), worker,
         "crashes=" + std::to_string(ref.get().crashes().crashes())
                 + " beside=" + std::to_string(beside));
}

void JobScheduler::undoExposure(const RunRef &ref)
{
    const RunKey run = ref.key();
    Worker *worker = m_workers.find(ref.get().worker);
    ref.task.ensureRecord().crashes.clear(run.run);
    std::erase_if(worker->exposedRuns, [&](const ExposedRun &it) { return it.run == run; });
    std::erase_if(m_exposureRecords, [&](const ExposureRecord &it) {
        return it.task == run.task && it.exposure.run == run.run;
    });
    std::erase_if(m_pendingTrials, [&](const PendingTrial &it) { return it.run == run; });
}

void JobScheduler::exposuresRecorded(Moment at, std::uint64_t batch)
{
    const auto node = m_exposureBatches.extract(batch);
    if (node.empty())
        return;
    for (const PendingTrial &it : node.mapped().trials) {
        const RunRef run = findRun(m_jobs.find(it.run.task), it.run.run);
        if (!run.task || run.get().phase != RunPhase::Recording)
            continue;
        Worker *worker = m_workers.find(run.get().worker);
        ACACIAFORK_ASSERT(worker != nullptr);
        // The record may have taken long, and the zone may have closed or the queue moved
        // meanwhile.
        if (run.task.get().crashes().find(it.run.run) == nullptr
            || !m_placer.isReachable(at.now, *worker) || !Size {}.fitsIn(worker->freeCapacity())
            || worker->life.pool != run.task.step->job->pool) {
            abandonStart(at.now, run);
            continue;
        }
        worker->holdForTrial(at.now, run.task.get().crashes().trialLength(m_settings.crashes));
        worker->immediateRenewalAt = std::min(worker->immediateRenewalAt, worker->trialEndsAt);
        orderStart(at.now, run, it.freeBefore, 0);
    }
}

bool JobScheduler::confirmStart(Moment at, StartRun *start)
{
    const RunRef ref = findRun(m_jobs.find(start->run.task), start->run.run);
    if (!ref.task || ref.get().worker != start->target.worker)
        return false;
    Run &run = ref.get();
    Worker *worker = m_workers.find(run.worker);
    const Step &step = *ref.task.step;
    // The record may have taken long: the worker may be lost or changed, its zone closed, the queue
    // moved, or the job over.
    const bool isCurrent = run.phase == RunPhase::Recording && !m_isFenced
            && ref.task.get().crashes().find(run.number) != nullptr
            && worker->life.born == start->target.born && worker->unansweredRenewals == 0
            && !worker->life.draining && !worker->awaitsReport
            && !m_closedZones.isClosed(worker->life.zone) && Placer::canEverFit(*worker, step)
            && Size {}.fitsIn(worker->freeCapacity());
    if (!isCurrent) {
        abandonStart(at.now, ref);
        return false;
    }
    run.phase = RunPhase::Starting;
    run.startedAt = at.now;
    run.startDeadlineMs = worker->grantLease(at.now, m_settings.lease);
    start->leaseEndMs = run.startDeadlineMs;
    return true;
}

bool JobScheduler::isRecordOverdue(Timestamp now) const
{
    return !m_exposureBatches.empty()
            && now - m_exposureBatches.begin()->second.since >= m_settings.startRecordTimeout;
}

void JobScheduler::abandonOverdueStarts(Timestamp now)
{
    const auto isOverdue = [&](const RunRef &run) {
        return run.task && run.get().phase == RunPhase::Recording
                && now - run.get().startedAt >= m_settings.startRecordTimeout;
    };
    std::vector<RunKey> overdue;
    for (const auto &[id, worker] : m_workers.all()) {
        for (const RunRef &it : worker->runs) {
            if (isOverdue(it))
                overdue.push_back(it.key());
        }
    }
    for (const RunKey &it : overdue) {
        // An abandoned member of a gang stops the others.
        const RunRef run = findRun(m_jobs.find(it.task), it.run);
        if (isOverdue(run))
            abandonStart(now, run);
    }
}

void JobScheduler::abandonStart(Timestamp now, const RunRef &ref)
{
    Step *step = ref.task.step;
    note("start-abandoned", ref.key(), m_workers.find(ref.get().worker), {});
    CrashHistory &crashes = ref.task.ensureRecord().crashes;
    if (const CrashExposure *exposure = crashes.find(ref.get().number); exposure != nullptr) {
        recordExposure(now, ref.task.key(), ExposureChange::Cleared, *exposure);
        crashes.clear(ref.get().number);
    }
    releaseRun(now, ref);
    if (step->spec->gang)
        stopGang(now, step, "member-refused");
    requeue(now, ref.task);
}

void JobScheduler::finishTrials(Timestamp now, Worker *worker, const RenewalAnswer &answer)
{
    if (answer.sentAt < worker->trialEndsAt)
        return;
    std::erase_if(worker->trials, [&](const RunKey &it) {
        const RunRef run = findRun(m_jobs.find(it.task), it.run);
        ACACIAFORK_ASSERT(run.task);
        if (run.get().phase != RunPhase::Running)
            return false;
        CrashHistory &crashes = run.task.ensureRecord().crashes;
        if (const CrashExposure *exposure = crashes.find(it.run)) {
            recordExposure(now, it.task, ExposureChange::Survived, *exposure);
            crashes.survive(it.run);
            std::erase_if(worker->exposedRuns,
                          [&](const ExposedRun &other) { return other.run == it; });
        }
        note("trial-passed", it, worker, "crashes=" + std::to_string(crashes.crashes()));
        return true;
    });
}

void JobScheduler::reserveForTrials(Timestamp now)
{
    std::set<TaskKey> served;
    for (const auto &[id, worker] : m_workers.all()) {
        if (now >= worker->reservedUntil)
            continue;
        const TaskRef task = m_jobs.find(worker->reservedFor);
        if (task && needsTrial(*task.step) && m_placer.isReachable(now, *worker)
            && worker->life.pool == task.step->job->pool)
            served.insert(worker->reservedFor);
        else
            worker->reservedUntil = now;
    }
    const std::size_t most =
            std::max<std::size_t>(1,
                                  m_workers.all().size() * m_settings.crashes.maxReservedPercent
                                          / static_cast<std::size_t>(wholePercent));
    if (served.size() >= most)
        return;
    // Round robin, since the worker kept for a task may never have room for it.
    std::ranges::stable_sort(m_unplacedTrials, {}, &Step::reservedAt);
    std::size_t tried = 0;
    for (Step *it : m_unplacedTrials) {
        if (served.size() >= most || tried >= m_settings.crashes.maxReservationsPerRound)
            break;
        if (it->reservedAt == now || served.contains(it->key(0)))
            continue;
        ++tried;
        Worker *worker = m_placer.chooseToReserve(now, m_workers, *it);
        it->reservedAt = now;
        if (worker == nullptr)
            continue;
        served.insert(it->key(0));
        worker->reservedFor = it->key(0);
        worker->reservedUntil = now + longestIsolation(*it) + reservationMargin;
    }
}

bool JobScheduler::needsTrial(const Step &step)
{
    return std::ranges::any_of(step.tasks, [&](const Task &it) {
        return it.awaitsTrial || (step.spec->gang && it.isReady && it.crashes().isSuspect());
    });
}

Duration JobScheduler::longestIsolation(const Step &step) const
{
    Duration longest {};
    for (const Task &it : step.tasks) {
        if (it.isReady && it.crashes().isSuspect())
            longest = std::max(longest, it.crashes().trialLength(m_settings.crashes));
    }
    return std::min(longest, m_settings.overdueAfter);
}

std::size_t JobScheduler::trialsInProgress() const
{
    std::size_t n = 0;
    for (const auto &[id, worker] : m_workers.all())
        n += worker->trials.size();
    return n;
}

} // namespace acaciafork::jobs
