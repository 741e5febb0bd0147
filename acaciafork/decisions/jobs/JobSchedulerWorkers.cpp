#include <algorithm>
#include <unordered_set>

#include "acaciafork/decisions/jobs/JobScheduler.h"

// Workers' reports, lists and leases, and the take-over from an earlier leader.

namespace acaciafork::jobs {
namespace {

/// Maximum time for which a renewal is delayed until pending run ends are recorded.
constexpr Duration maxRecordWait = std::chrono::milliseconds(700);
/// Delay before a worker that could not be recorded is recorded again.
constexpr Duration recordRetryDelay = std::chrono::seconds(1);

bool isSameRecord(const WorkerLife &one, const WorkerLife &other)
{
    return one.born == other.born && one.pool == other.pool && one.address == other.address
            && one.zone == other.zone && one.labels == other.labels
            && one.capacity == other.capacity && one.draining == other.draining;
}

} // namespace

void JobScheduler::workerReported(Moment at, const WorkerReport &report)
{
    Worker *worker = m_workers.find(report.life.name);
    if (worker == nullptr && isOutdated(at.now, report.life))
        return;
    if (worker == nullptr) {
        worker = &m_workers.add(report.life);
        worker->lifeNumber = m_nextLife;
        // Orders are sent only to recorded workers. One that was removed before may be back, and
        // takes what was meant for its earlier incarnation until it has seen a higher token.
        worker->isKnown = m_nextLife == 0;
        worker->immediateRenewalAt = worker->isKnown ? Timestamp::max() : at.now;
        worker->guardsCapacity = !m_unguardedPools.contains(report.life.pool);
        worker->lastHeardAt = at.now;
        worker->lastReportedAt = at.now;
        worker->warmAt = at.now + report.coldFor;
        worker->sequence = report.sequence;
        worker->lease.observe(at.now, report.clockMs);
        note("worker-joined", {}, worker,
             "pool=" + report.life.pool + " address=" + report.life.address);
        recordWorker(worker);
        return;
    }
    if (report.life.born < worker->life.born
        || (report.life.born == worker->life.born && worker->hasCrashed))
        return;
    const bool startsDraining = report.life.draining && !worker->life.draining;
    if (report.life.born > worker->life.born) {
        replaceIncarnation(at.now, worker, report.life);
    } else if (report.sequence <= worker->sequence) {
        // A report that arrived out of order.
        return;
    } else if (!isSameRecord(worker->life, report.life)) {
        worker->life = report.life;
        recordWorker(worker);
    }
    worker->guardsCapacity = !m_unguardedPools.contains(report.life.pool);
    worker->awaitsReport = false;
    worker->lastReportedAt = at.now;
    worker->lastHeardAt = at.now;
    worker->warmAt = at.now + report.coldFor;
    worker->sequence = report.sequence;
    worker->lease.observe(at.now, report.clockMs);
    if (startsDraining) {
        note("worker-draining", {}, worker, "runs=" + std::to_string(worker->runs.size()));
        moveLongRunningTasks(at.now, *worker);
    }
    if (!worker->isRecorded && !worker->isRecording)
        recordWorker(worker);
    m_placementDue = true;
}

bool JobScheduler::isOutdated(Timestamp now, const WorkerLife &life) const
{
    return std::ranges::any_of(m_workers.all(), [&](const auto &it) {
        const Worker &other = *it.second;
        return other.life.address == life.address && other.life.born > life.born
                && m_placer.isInTouch(now, other);
    });
}

void JobScheduler::recordWorker(Worker *worker)
{
    worker->isRecording = true;
    if (!worker->isRecorded)
        worker->renewalAt = worker->lastHeardAt + recordRetryDelay;
    m_changedWorkers.push_back(worker->life);
}

void JobScheduler::workersRecorded(Moment at, std::span<const WorkerName> names)
{
    for (const WorkerName &it : names) {
        Worker *worker = m_workers.find(it);
        if (worker == nullptr)
            continue;
        worker->isRecorded = true;
        worker->isRecording = false;
        worker->renewalAt = at.now;
    }
    m_placementDue = true;
}

void JobScheduler::replaceIncarnation(Timestamp now, Worker *worker, const WorkerLife &life)
{
    // Orders sent before this was known may have reached the new incarnation: only its lists show
    // which of the runs are over, apart from those that a list has shown before.
    note("worker-reborn", {}, worker, "runs=" + std::to_string(worker->runs.size()));
    workerEnded(now, worker, "reborn");
    worker->hasCrashed = false;
    worker->trials.clear();
    worker->isRecorded = worker->isRecorded && worker->life.address == life.address
            && worker->life.pool == life.pool;
    worker->life = life;
    worker->isKnown = false;
    worker->isIncarnationConfirmed = false;
    for (const RunRef &it : worker->runs) {
        Run &run = it.get();
        run.startDeadlineMs = INT64_MAX;
        // A stop binds only the incarnation that has confirmed it.
        run.stopConfirmed = false;
        run.stopInFlight = false;
        run.unlistedSince = Timestamp::max();
    }
    ++worker->lifeNumber;
    worker->isFenced = false;
    // Answers to orders for the earlier incarnation are dropped.
    worker->renewalInFlight = false;
    worker->immediateRenewalInFlight = false;
    // Until the incarnation has seen its own fencing token, it takes orders for the earlier one.
    // Their deadlines lie far ahead on its clock, which has begun anew, so that each brings the
    // longest lease. None is carried out later than maxOrderDelay, however often the worker
    // restarts.
    worker->lease = {};
    worker->lease.assumeGranted(worker->leaseOrderedAt + m_settings.maxOrderDelay,
                                m_settings.maxLease);
    worker->strayRunsUntil = Worker::distantPast();
    worker->seenEnds = 0;
    worker->recordedEnds = 0;
    worker->acknowledgedEnds = 0;
    worker->lastBatch = 0;
    worker->renewalCursor = 0;
    worker->immediateRenewalCursor = 0;
    worker->sequence = 0;
    worker->unansweredRenewals = 0;
    worker->consecutiveFailures = 0;
    worker->failedStarts = 0;
    worker->avoidUntil = Worker::distantPast();
    worker->backfillPercent = 100;
    worker->isTailInDanger = false;
    worker->leftAt = Timestamp::max();
    worker->immediateRenewalAt = now;
    recordWorker(worker);
}

bool JobScheduler::workerLeft(Moment at, const WorkerName &name, Incarnation born)
{
    Worker *worker = m_workers.find(name);
    if (worker == nullptr || (born && worker->life.born != born))
        return true;
    // The later leader decides.
    if (m_isFenced)
        return true;
    worker->life.draining = true;
    if (worker->leftAt == Timestamp::max()) {
        note("worker-leaving", {}, worker, "runs=" + std::to_string(worker->runs.size()));
        worker->leftAt = at.now;
        stopLeaving(at.now, *worker);
    }
    if (hasLeft(at.now, *worker)) {
        removeLeft(at.now, worker);
        return true;
    }
    worker->immediateRenewalAt = at.now;
    renewIfDue(at.now, worker);
    return !isLeaving(at.now, name);
}

bool JobScheduler::isLeaving(Timestamp now, const WorkerName &name) const
{
    const Worker *worker = m_workers.find(name);
    return worker != nullptr && worker->leftAt != Timestamp::max()
            && worker->unansweredRenewals == 0 && now - worker->leftAt < m_settings.leaveTimeout;
}

bool JobScheduler::hasLeft(Timestamp now, const Worker &worker) const
{
    // Without the answer to its message the worker works on for seconds, so that only the ends of
    // its runs and the end of its lease count.
    const bool mayHideRuns = worker.isRecorded && !worker.isKnown;
    return worker.leftAt != Timestamp::max() && worker.runs.empty()
            && (!mayHideRuns || now >= worker.lease.expiresAt());
}

void JobScheduler::stopLeaving(Timestamp now, const Worker &worker)
{
    const std::vector<RunRef> runs = worker.runs;
    for (const RunRef &it : runs) {
        if (it.get().phase != RunPhase::Stopping)
            requestStop(now, it, "worker-leaving");
    }
}

void JobScheduler::removeLeft(Timestamp now, Worker *worker)
{
    note("worker-left", {}, worker, {});
    clearOldExposures(now, worker);
    forget(*worker);
}

void JobScheduler::forget(const Worker &worker)
{
    // Where it comes back, its orders need a higher token than those that it has seen.
    m_nextLife = std::max(m_nextLife, worker.lifeNumber + 1);
    m_removedWorkers.push_back(worker.life.name);
    m_workers.remove(worker.id);
}

void JobScheduler::moveLongRunningTasks(Timestamp now, const Worker &worker)
{
    // Long-running tasks are moved now, rather than interrupted when the worker ends.
    const std::vector<RunRef> runs = worker.runs;
    for (const RunRef &it : runs) {
        const StepSpec &spec = *it.task.step->spec;
        if (!spec.longRunning || it.get().phase == RunPhase::Stopping)
            continue;
        // The worker ends in any case: without a stated budget nothing is gained by a wait.
        if (spec.disruptionBudget == 0)
            requestStop(now, it, "worker-draining");
        else
            stopByChoice(now, it, "worker-draining");
    }
}

void JobScheduler::checkDrainingWorkers(Timestamp now)
{
    for (const auto &[id, worker] : m_workers.all()) {
        const bool isLeaving = worker->leftAt != Timestamp::max();
        if (worker->life.draining && worker->isRecorded && !isLeaving && !m_isFenced)
            moveLongRunningTasks(now, *worker);
    }
}

// ---- renewals

void JobScheduler::renewIfDue(Timestamp now, Worker *worker)
{
    if (!worker->isRecorded || m_isFenced)
        return;
    if (now >= worker->immediateRenewalAt && !worker->immediateRenewalInFlight) {
        worker->immediateRenewalAt = Timestamp::max();
        worker->immediateRenewalInFlight = true;
        sendRenewal(now, worker, Duration {}, true);
        return;
    }
    if (worker->renewalInFlight || now < worker->renewalAt)
        return;
    // A silent worker gets no new work, so it is asked until it answers, also when it runs nothing.
    if (!worker->isKnown || (worker->runs.empty() && worker->unansweredRenewals > 0)) {
        worker->renewalInFlight = true;
        sendRenewal(now, worker, Duration {});
        return;
    }
    if (!worker->runs.empty()) {
        const bool waitsForRecord = worker->recordedEnds < worker->seenEnds;
        if (waitsForRecord && now - worker->lastRenewalSentAt < maxRecordWait)
            return;
        const bool isMixed = worker->servingMillicores > 0 && worker->backfillMillicores > 0;
        Duration wait = isMixed ? m_settings.mixedRenewalWait : m_settings.renewalWait;
        if (worker->unansweredRenewals > 0)
            wait = Duration {};
        worker->renewalInFlight = true;
        sendRenewal(now, worker, wait);
    } else if (worker->acknowledgedEnds < worker->recordedEnds
               && now - worker->lastRenewalSentAt >= m_settings.idleAcknowledgeDelay) {
        worker->renewalInFlight = true;
        sendRenewal(now, worker, Duration {});
    }
}

void JobScheduler::sendRenewal(Timestamp now, Worker *worker, Duration wait, bool isImmediate)
{
    worker->lastRenewalSentAt = now;
    // While another renewal has no answer, the worker may have started again unnoticed.
    const bool isAlone = !isImmediate || !worker->renewalInFlight;
    const std::uint64_t cursor =
            worker->isIncarnationConfirmed && isAlone ? worker->recordedEnds : 0;
    (isImmediate ? worker->immediateRenewalCursor : worker->renewalCursor) = cursor;
    // The lease is not extended for a worker whose clock has not been observed or that runs
    // nothing. Nor is it for a silent worker: any lease that it may hold has to expire before its
    // tasks can run elsewhere. Nor for one that may have runs which can't be read from its lists:
    // tasks of earlier leaders wait until they have ended. Nor for a new incarnation that has not
    // answered yet.
    const bool mayHideRuns = !worker->isKnown && worker->hasUnreadableRows;
    const bool hasAnswered = worker->isKnown || worker->isIncarnationConfirmed;
    const bool isLeaving = worker->leftAt != Timestamp::max();
    const bool renews = worker->lease.isKnown() && hasAnswered && !worker->runs.empty()
            && worker->unansweredRenewals == 0 && !mayHideRuns && !isLeaving;
    m_commands.emplace_back(
            RenewWorkerLease { .target = targetOf(*worker),
                               .recordedEnds = cursor,
                               .leaseEndMs = renews ? worker->grantLease(now, m_settings.lease) : 0,
                               .wait = wait,
                               .isImmediate = isImmediate });
}

void JobScheduler::renewalAnswered(Moment at, WorkerId id, bool wasImmediate, OrderOutcome outcome,
                                   const RenewalAnswer *answer)
{
    const Timestamp now = at.now;
    Worker *worker = m_workers.find(id);
    if (outcome == OrderOutcome::Fenced)
        becomeFenced(worker);
    if (worker == nullptr)
        return;
    (wasImmediate ? worker->immediateRenewalInFlight : worker->renewalInFlight) = false;
    // Another worker at its address shows that its process is over, unless it was heard of since it
    // fell silent: then the answer may be that of an earlier process there.
    const bool isReplaced = outcome == OrderOutcome::OtherLife && worker->unansweredRenewals > 0
            && worker->lastHeardAt <= worker->silentSince;
    // An earlier life says nothing about this one. Where it goes on answering, its clock was set
    // back before it started: then this one is over, and is forgotten as a silent one.
    if (answer != nullptr && answer->born && answer->born < worker->life.born)
        outcome = OrderOutcome::OtherLife;
    if (outcome != OrderOutcome::Done || answer == nullptr) {
        if (worker->unansweredRenewals == 0) {
            noteSilence(now, worker);
            note("worker-silent", {}, worker,
                 "outcome=" + std::string(orderOutcomeName(outcome))
                         + " runs=" + std::to_string(worker->runs.size()));
        }
        if (isReplaced && !worker->hasCrashed) {
            workerEnded(now, worker, "address");
            retireWorker(now, worker);
        }
        ++worker->unansweredRenewals;
        worker->isIncarnationConfirmed = false;
        loseEarlierRuns(now, worker);
        worker->renewalAt = now + m_settings.retryDelay;
        if (wasImmediate)
            worker->immediateRenewalAt = now + m_settings.retryDelay;
        return;
    }
    const bool hasOwnToken = !answer->born || answer->born == worker->life.born;
    if (answer->born && answer->born > worker->life.born) {
        WorkerLife life = worker->life;
        life.born = answer->born;
        replaceIncarnation(now, worker, life);
        worker->awaitsReport = true;
    }
    if (worker->unansweredRenewals > 0 || (!worker->isKnown && !worker->hasUnreadableRows))
        note("worker-reached", {}, worker,
             "running=" + std::to_string(answer->running.size())
                     + " ended=" + std::to_string(answer->ended.size()));
    worker->unansweredRenewals = 0;
    worker->isIncarnationConfirmed = true;
    worker->lastHeardAt = now;
    worker->renewalAt = now;
    if (hasOwnToken && !worker->isFenced) {
        worker->isFenced = true;
        // What was carried out before brought no longer lease than this.
        if (worker->lifeNumber > 0) {
            worker->lease = {};
            worker->lease.assumeGranted(now, m_settings.maxLease);
        }
    }
    worker->lease.observe(now, answer->clockMs);
    worker->hasUnreadableRows = answer->unreadableRows > 0;
    worker->acknowledgedEnds =
            std::max(worker->acknowledgedEnds,
                     wasImmediate ? worker->immediateRenewalCursor : worker->renewalCursor);

    const std::uint64_t seenBefore = worker->seenEnds;
    for (const EndedRow &it : answer->ended) {
        if (it.number > worker->seenEnds)
            handleRunEnd(now, worker, it);
    }
    if (worker->seenEnds > seenBefore)
        joinOpenBatch(worker);
    const bool isOpen = worker->lastBatch > m_lastBatch || m_batches.contains(worker->lastBatch);
    if (!isOpen)
        worker->recordedEnds = worker->seenEnds;
    if (answer->sentAt >= worker->strayRunsUntil)
        worker->strayRunsUntil = Worker::distantPast();
    else
        worker->immediateRenewalAt = std::min(worker->immediateRenewalAt, worker->strayRunsUntil);
    if (!worker->isKnown)
        worker->stoppedRunsUntil = answer->sentAt + longestStop();
    reconcileRunning(now, worker, *answer);
    if (!answer->hasMore && worker->isFenced) {
        releaseUnlisted(now, worker, *answer);
        if (!worker->hasUnreadableRows)
            clearOldExposures(now, worker);
    }
    finishTrials(now, worker, *answer);
    // What an earlier leader has told to stop is on no list and still at work.
    if (!worker->isKnown && !worker->guardsCapacity)
        awaitStrayRuns(now, worker);
    const bool hasUnknownRuns =
            worker->hasUnreadableRows && answer->sentAt < worker->lease.expiresAt();
    worker->isKnown = worker->isKnown || (worker->isFenced && !answer->hasMore && !hasUnknownRuns);
    if (worker->hasUnreadableRows)
        worker->renewalAt = now + m_settings.retryDelay;
    if (hasLeft(now, *worker)) {
        removeLeft(now, worker);
        return;
    }
    // Runs of earlier leaders that the list has shown.
    if (worker->leftAt != Timestamp::max())
        stopLeaving(now, *worker);
    throttleBackfill(now, worker);
    m_placementDue = true;
    renewIfDue(now, worker);
}

void JobScheduler::reconcileRunning(Timestamp now, Worker *worker, const RenewalAnswer &answer)
{
    for (const RunningRow &row : answer.running) {
        const TaskRef task = findOrOpen(now, row.run.task);
        const RunRef ref = findRun(task, row.run.run);
        if (!ref.task || ref.get().worker != worker->id) {
            if (!task || !adoptRun(now, task, row, worker)) {
                if (!worker->guardsCapacity)
                    awaitStrayRuns(now, worker);
                m_commands.emplace_back(StopRun { .target = targetOf(*worker),
                                                  .run = row.run,
                                                  .reason = task ? "superseded" : "not-ours" });
                continue;
            }
            findRun(task, row.run.run).get().listedBy = answer.born;
            continue;
        }
        Run &run = ref.get();
        // Also where the answer to its start was lost and it is being stopped.
        noteRun(task);
        if (answer.born)
            run.listedBy = answer.born;
        if (run.phase == RunPhase::Recording || run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            startConfirmed(now, worker, ref);
        }
        if (run.phase == RunPhase::Running)
            run.confirmedAt = now;
        run.load = row.load;
        run.progress = row.percent;
        task.step->updateCheckpoint(task.task, row.checkpoint);
    }
}

void JobScheduler::awaitStrayRuns(Timestamp now, Worker *worker) const
{
    worker->strayRunsUntil = now + longestStop();
    worker->immediateRenewalAt = std::min(worker->immediateRenewalAt, worker->strayRunsUntil);
}

Duration JobScheduler::longestStop() const
{
    // Allows for a slow worker clock.
    return m_settings.stopTimeout
            + m_settings.stopTimeout * LeaseClock::maxClockLagPercent / wholePercent
            + m_settings.recordDelay;
}

void JobScheduler::releaseUnlisted(Timestamp now, Worker *worker, const RenewalAnswer &answer)
{
    std::unordered_set<TaskKey> listed;
    for (const RunningRow &it : answer.running)
        listed.insert(it.run.task);
    const Duration stopTime = longestStop();
    const std::vector<RunRef> runs = worker->runs;
    for (const RunRef &it : runs) {
        Run &run = it.get();
        // The incarnation refuses the order of its start, which was meant for an earlier one.
        if (run.phase == RunPhase::Starting && run.orderedFor < worker->lifeNumber
            && !worker->hasUnreadableRows && !listed.contains(it.task.key())) {
            loseUnlisted(now, worker, it);
            continue;
        }
        if (run.phase == RunPhase::Stopping && !run.stopConfirmed) {
            if (!listed.contains(it.task.key()) && isOverUnconfirmed(now, worker, &run, answer))
                loseUnlisted(now, worker, it);
            continue;
        }
        const bool mayBeOver = run.phase == RunPhase::Running || run.phase == RunPhase::Stopping;
        // A list requested before the worker last confirmed the run or its stop says nothing about
        // it.
        const Timestamp since =
                run.phase == RunPhase::Stopping ? run.confirmedAt + stopTime : run.confirmedAt;
        if (!mayBeOver || listed.contains(it.task.key()) || answer.sentAt <= since)
            continue;
        // It may be in a row that could not be read, so it is over only once its stop has passed.
        if (run.phase == RunPhase::Running && worker->hasUnreadableRows) {
            requestStop(now, it, "unlisted");
            continue;
        }
        loseUnlisted(now, worker, it);
    }
}

bool JobScheduler::isOverUnconfirmed(Timestamp now, Worker *worker, Run *run,
                                     const RenewalAnswer &answer) const
{
    const bool isRefused = run->orderedFor < worker->lifeNumber;
    if (worker->hasUnreadableRows || (!isRefused && answer.clockMs <= run->startDeadlineMs))
        return false;
    // The run can't start any more. A run that is being stopped is on no list either, so only a
    // second list without it shows that it is over.
    const Duration stopTime = longestStop();
    if (run->unlistedSince != Timestamp::max())
        return answer.sentAt > run->unlistedSince + stopTime;
    run->unlistedSince = now;
    worker->immediateRenewalAt =
            std::min(worker->immediateRenewalAt, now + stopTime + m_settings.recordDelay);
    return false;
}

void JobScheduler::loseEarlierRuns(Timestamp now, Worker *worker)
{
    const std::vector<RunRef> runs = worker->runs;
    for (const RunRef &it : runs) {
        const Incarnation listedBy = it.get().listedBy;
        if (listedBy && listedBy < worker->life.born)
            loseRun(now, worker, it, "reborn");
    }
}

void JobScheduler::loseUnlisted(Timestamp now, Worker *worker, const RunRef &ref)
{
    note("run-lost", ref.key(), worker, "reason=unlisted");
    clearExposure(now, ref.task, ref.get().number);
    markOver(now, ref.task, ref.get().number);
    ++m_counts.lost;
    const TaskRef task = ref.task;
    releaseRun(now, ref);
    requeue(now, task);
}

// ---- periodic checks

void JobScheduler::checkExpiredLeases(Timestamp now)
{
    std::vector<WorkerId> forgotten;
    std::vector<Worker *> left;
    for (const auto &[id, worker] : m_workers.all()) {
        const bool hasExpired = now >= worker->lease.expiresAt();
        if (hasExpired && !worker->runs.empty()) {
            markRunsLost(now, worker.get(), "lapsed");
            worker->isKnown = false;
        }
        if (hasLeft(now, *worker)) {
            left.push_back(worker.get());
            continue;
        }
        for (const RunRef &it : worker->runs) {
            Run &run = it.get();
            if (run.phase == RunPhase::Stopping && !run.stopConfirmed && !run.stopInFlight
                && now >= run.stopRetryAt)
                requestStop(now, it, "again");
        }
        const bool isSilent = now - worker->lastHeardAt > (worker->exposedRuns.empty()
                                                                   ? m_settings.forgetAfter
                                                                   : m_settings.forgetExposedAfter);
        if (hasExpired && isSilent && worker->runs.empty())
            forgotten.push_back(id);
    }
    for (Worker *it : left)
        removeLeft(now, it);
    for (const WorkerId it : forgotten) {
        const Worker *worker = m_workers.find(it);
        note("worker-forgotten", {}, worker, {});
        forget(*worker);
    }
}

bool JobScheduler::isEarlierLife(WorkerId id, std::uint32_t life) const
{
    const Worker *worker = m_workers.find(id);
    return worker == nullptr || life < worker->lifeNumber;
}

void JobScheduler::becomeFenced(const Worker *worker)
{
    if (!m_isFenced)
        note("fenced", {}, worker, "tenure=" + std::to_string(m_tenure.value));
    m_isFenced = true;
}

std::vector<const Worker *> JobScheduler::unseenWorkers(Timestamp now) const
{
    std::vector<const Worker *> unseen;
    for (const auto &[id, worker] : m_workers.all()) {
        if (!worker->isKnown && now < worker->lease.expiresAt())
            unseen.push_back(worker.get());
    }
    return unseen;
}

void JobScheduler::checkTakeover(Timestamp now)
{
    if (m_hasAdmittedInherited)
        admitSeenTasks(now);
    if (!m_isTakingOver)
        return;
    if (!m_hasAdmittedInherited && now - m_tenureBeganAt >= m_settings.listTimeout)
        admitInherited(now);
    const std::vector<const Worker *> unseen = unseenWorkers(now);
    // Workers that restart without answering would prolong it each time.
    if (!unseen.empty() && now < m_earlierLeases.expiresAt())
        return;
    for (const Worker *it : unseen)
        note("take-over-not-awaited", {}, it,
             "since-ms=" + std::to_string((now - m_tenureBeganAt) / std::chrono::milliseconds(1))
                     + " unanswered=" + std::to_string(it->unansweredRenewals));
    m_isTakingOver = false;
    note("take-over-ended", {}, nullptr, "workers=" + std::to_string(m_workers.all().size()));
    if (!m_hasAdmittedInherited)
        admitInherited(now);
}

void JobScheduler::noteUnseenRuns(Job *job)
{
    for (Step &step : job->steps()) {
        for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
            Task &task = step.tasks[it];
            if (task.ownRecord == nullptr)
                continue;
            const auto mayRun = [&](const CrashExposure &exposure) {
                return !exposure.isOver && m_workers.find(exposure.worker) != nullptr;
            };
            task.mayRunUnseen =
                    !task.done && std::ranges::any_of(task.crashes().exposures(), mayRun);
            if (task.mayRunUnseen)
                m_unseenTasks.push_back(step.key(it));
        }
    }
}

bool JobScheduler::mayRunUnseen(Timestamp now, const Task &task) const
{
    return std::ranges::any_of(task.crashes().exposures(), [&](const CrashExposure &it) {
        const Worker *worker = m_workers.find(it.worker);
        if (it.isOver || it.run.value > firstRunNumber() || worker == nullptr)
            return false;
        if (worker->isKnown)
            return it.born == worker->life.born && now < worker->stoppedRunsUntil;
        return now < std::min(worker->lease.expiresAt(), m_earlierLeases.expiresAt());
    });
}

void JobScheduler::admitInherited(Timestamp now)
{
    m_hasAdmittedInherited = true;
    m_inheritedAdmittedAt = now;
    m_placementDue = true;
    for (const auto &[id, job] : m_jobs.all()) {
        for (Step &it : job->steps())
            it.mayRunUnseen = false;
    }
    admitSeenTasks(now);
    note("inherited-admitted", {}, nullptr,
         "since-ms=" + std::to_string((now - m_tenureBeganAt) / std::chrono::milliseconds(1))
                 + " unseen-tasks=" + std::to_string(m_unseenTasks.size()));
    for (const auto &[id, job] : m_jobs.all()) {
        if (job->phase == JobPhase::Active)
            failIfExhausted(now, job.get());
    }
}

void JobScheduler::admitSeenTasks(Timestamp now)
{
    std::erase_if(m_unseenTasks, [&](const TaskKey &it) {
        const TaskRef ref = m_jobs.find(it);
        if (!ref || !ref.get().mayRunUnseen)
            return true;
        if (mayRunUnseen(now, ref.get()))
            return false;
        ref.get().mayRunUnseen = false;
        endLapsedExposures(now, ref);
        requeue(now, ref);
        return true;
    });
}

void JobScheduler::endLapsedExposures(Timestamp now, const TaskRef &ref)
{
    // Otherwise each later leader would wait for the same worker.
    const std::span exposures = ref.get().crashes().exposures();
    const std::vector<CrashExposure> known(exposures.begin(), exposures.end());
    for (const CrashExposure &it : known) {
        if (it.run.value <= firstRunNumber() && m_workers.find(it.worker) != nullptr)
            markOver(now, ref, it.run);
    }
}

} // namespace acaciafork::jobs
