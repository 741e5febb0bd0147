#include <algorithm>
#include <unordered_set>

#include "acaciafork/decisions/jobs/JobScheduler.h"

// Workers: their reports, their lists, their leases, and the take-over from an earlier leader.

namespace acaciafork::jobs {
namespace {

/// Ends that wait for their record hold a renewal back no longer than this.
constexpr Duration longestRecordWait = std::chrono::milliseconds(700);
/// A life that could not be recorded is recorded again after this.
constexpr Duration recordAgainAfter = std::chrono::seconds(1);

bool sameLife(const WorkerLife &one, const WorkerLife &other)
{
    return one.born == other.born && one.pool == other.pool && one.address == other.address
            && one.labels == other.labels && one.capacity == other.capacity
            && one.draining == other.draining;
}

} // namespace

void JobScheduler::workerReported(Moment at, const WorkerReport &report)
{
    Worker *worker = m_workers.find(report.life.name);
    if (worker == nullptr) {
        worker = &m_workers.add(report.life);
        // Nothing was ever ordered there, else its life were recorded.
        worker->isKnown = true;
        worker->heardAt = at.now;
        worker->sequence = report.sequence;
        worker->lease.observe(at.now, report.clockMs);
        note("worker-joined", {}, worker,
             "pool=" + report.life.pool + " address=" + report.life.address);
        recordLife(worker);
        return;
    }
    if (report.life.born < worker->life.born)
        return;
    const bool beginsToDrain = report.life.draining && !worker->life.draining;
    if (report.life.born > worker->life.born) {
        renewLife(at.now, worker, report.life);
    } else if (report.sequence <= worker->sequence) {
        // A report that was overtaken on its way.
        return;
    } else if (!sameLife(worker->life, report.life)) {
        worker->life = report.life;
        recordLife(worker);
    }
    worker->heardAt = at.now;
    worker->sequence = report.sequence;
    worker->lease.observe(at.now, report.clockMs);
    if (beginsToDrain) {
        note("worker-draining", {}, worker, "runs=" + std::to_string(worker->runs.size()));
        leaveDraining(at.now, worker);
    }
    if (!worker->isRecorded && !worker->isRecording)
        recordLife(worker);
    m_placementDue = true;
}

void JobScheduler::recordLife(Worker *worker)
{
    worker->isRecording = true;
    if (!worker->isRecorded)
        worker->holdAt = worker->heardAt + recordAgainAfter;
    m_lives.push_back(worker->life);
}

void JobScheduler::workersRecorded(Moment at, std::span<const WorkerName> names)
{
    for (const WorkerName &it : names) {
        Worker *worker = m_workers.find(it);
        if (worker == nullptr)
            continue;
        worker->isRecorded = true;
        worker->isRecording = false;
        worker->holdAt = at.now;
    }
    m_placementDue = true;
}

void JobScheduler::renewLife(Timestamp now, Worker *worker, const WorkerLife &life)
{
    // Orders sent before this was known may have reached the new life: only its lists tell which of
    // the runs are over.
    note("worker-reborn", {}, worker, "runs=" + std::to_string(worker->runs.size()));
    worker->isRecorded = worker->isRecorded && worker->life.address == life.address
            && worker->life.pool == life.pool;
    worker->life = life;
    worker->isKnown = false;
    worker->isLifeSure = false;
    worker->lease = {};
    worker->lease.assume(now, m_settings.lease);
    worker->seenEnds = 0;
    worker->recordedEnds = 0;
    worker->confirmedEnds = 0;
    worker->lastBatch = 0;
    worker->holdCursor = 0;
    worker->quickHoldCursor = 0;
    worker->sequence = 0;
    worker->unansweredHolds = 0;
    worker->failuresInRow = 0;
    worker->fillPercent = 100;
    worker->quickHoldAt = now;
    recordLife(worker);
}

void JobScheduler::workerLeft(Moment at, const WorkerName &name, Incarnation born)
{
    Worker *worker = m_workers.find(name);
    if (worker == nullptr || (born && worker->life.born != born))
        return;
    note("worker-left", {}, worker, "runs=" + std::to_string(worker->runs.size()));
    loseRuns(at.now, worker, "left");
    m_removed.push_back(worker->life.name);
    m_workers.remove(worker->id);
}

void JobScheduler::leaveDraining(Timestamp now, Worker *worker)
{
    // Tasks that last are better moved now than broken off when the worker ends.
    const std::vector<RunRef> runs = worker->runs;
    for (const RunRef &it : runs) {
        if (it.task.step->spec->longRunning)
            requestStop(now, it, "worker-draining");
    }
}

// ---- renewals

void JobScheduler::holdIfDue(Timestamp now, Worker *worker)
{
    if (!worker->isRecorded || m_isFenced)
        return;
    if (now >= worker->quickHoldAt && !worker->quickHoldInFlight) {
        worker->quickHoldAt = Timestamp::max();
        worker->quickHoldInFlight = true;
        sendHold(now, worker, Duration {}, true);
        return;
    }
    if (worker->holdInFlight || now < worker->holdAt)
        return;
    if (!worker->isKnown) {
        worker->holdInFlight = true;
        sendHold(now, worker, Duration {});
        return;
    }
    if (!worker->runs.empty()) {
        const bool waitsForRecord = worker->recordedEnds < worker->seenEnds;
        if (waitsForRecord && now - worker->lastHoldSentAt < longestRecordWait)
            return;
        const bool isWatched = worker->servingMillicores > 0 && worker->fillMillicores > 0;
        Duration wait = isWatched ? m_settings.watchedHoldWait : m_settings.holdWait;
        if (worker->unansweredHolds > 0)
            wait = Duration {};
        worker->holdInFlight = true;
        sendHold(now, worker, wait);
    } else if (worker->confirmedEnds < worker->recordedEnds
               && now - worker->lastHoldSentAt >= m_settings.idleConfirm) {
        worker->holdInFlight = true;
        sendHold(now, worker, Duration {});
    }
}

void JobScheduler::sendHold(Timestamp now, Worker *worker, Duration wait, bool isQuick)
{
    worker->lastHoldSentAt = now;
    const std::uint64_t cursor = worker->isLifeSure ? worker->recordedEnds : 0;
    (isQuick ? worker->quickHoldCursor : worker->holdCursor) = cursor;
    // A worker whose clock has not been seen, or that runs nothing, gets no longer lease. Nor does
    // a silent one: a lease that it may have heard of has to run out before its tasks go elsewhere.
    const bool renews =
            worker->lease.isKnown() && !worker->runs.empty() && worker->unansweredHolds == 0;
    m_commands.emplace_back(
            HoldWorker { .target = targetOf(*worker),
                         .recordedEnds = cursor,
                         .leaseEndMs = renews ? worker->lease.grant(now, m_settings.lease) : 0,
                         .wait = wait,
                         .isQuick = isQuick });
}

void JobScheduler::holdAnswered(Moment at, WorkerId id, bool wasQuick, OrderOutcome outcome,
                                const HoldAnswer *answer)
{
    const Timestamp now = at.now;
    Worker *worker = m_workers.find(id);
    if (outcome == OrderOutcome::Fenced)
        m_isFenced = true;
    if (worker == nullptr)
        return;
    (wasQuick ? worker->quickHoldInFlight : worker->holdInFlight) = false;
    if (outcome != OrderOutcome::Done || answer == nullptr) {
        if (worker->unansweredHolds == 0)
            note("worker-silent", {}, worker,
                 "outcome=" + std::string(orderOutcomeName(outcome))
                         + " runs=" + std::to_string(worker->runs.size()));
        ++worker->unansweredHolds;
        worker->isLifeSure = false;
        worker->holdAt = now + m_settings.retryPause;
        if (wasQuick)
            worker->quickHoldAt = now + m_settings.retryPause;
        return;
    }
    if (answer->born && answer->born < worker->life.born)
        return;
    if (answer->born && answer->born > worker->life.born) {
        WorkerLife life = worker->life;
        life.born = answer->born;
        renewLife(now, worker, life);
    }
    if (worker->unansweredHolds > 0 || !worker->isKnown)
        note("worker-reached", {}, worker,
             "running=" + std::to_string(answer->running.size())
                     + " ended=" + std::to_string(answer->ended.size()));
    worker->unansweredHolds = 0;
    worker->isLifeSure = true;
    worker->heardAt = now;
    worker->holdAt = now;
    worker->lease.observe(now, answer->clockMs);
    worker->confirmedEnds = std::max(worker->confirmedEnds,
                                     wasQuick ? worker->quickHoldCursor : worker->holdCursor);

    for (const EndedRow &it : answer->ended) {
        if (it.number > worker->seenEnds)
            takeEnd(now, worker, it);
    }
    // Ends that need no record, or whose record is committed, count as recorded.
    if (!m_batches.empty() || !m_ends.empty() || !m_failedJobs.empty()) {
        const bool isOpen = worker->lastBatch > m_lastBatch
                || m_batches.lower_bound(worker->lastBatch) != m_batches.end();
        if (worker->lastBatch == 0 || !isOpen)
            worker->recordedEnds = worker->seenEnds;
    } else {
        worker->recordedEnds = worker->seenEnds;
    }
    takeRunning(now, worker, *answer);
    if (!answer->hasMore)
        settleUnlisted(now, worker, *answer);
    worker->isKnown = worker->isKnown || !answer->hasMore;
    guardTails(now, worker);
    m_placementDue = true;
    holdIfDue(now, worker);
}

void JobScheduler::takeRunning(Timestamp now, Worker *worker, const HoldAnswer &answer)
{
    for (const RunningRow &row : answer.running) {
        const TaskRef task = m_jobs.find(row.run.task);
        const RunRef ref = findRun(task, row.run.run);
        if (!ref.task || ref.get().worker != worker->id) {
            if (!task || !adoptRun(now, task, row, worker)) {
                m_commands.emplace_back(StopRun { .target = targetOf(*worker),
                                                  .run = row.run,
                                                  .reason = task ? "superseded" : "not-ours" });
            }
            continue;
        }
        Run &run = ref.get();
        if (run.phase == RunPhase::Starting)
            run.phase = RunPhase::Running;
        if (run.phase == RunPhase::Running)
            run.confirmedAt = std::max(run.confirmedAt, answer.sentAt);
        run.load = row.load;
        run.progress = row.percent;
        task.step->noteCheckpoint(&task.get(), row.checkpoint);
    }
}

void JobScheduler::settleUnlisted(Timestamp now, Worker *worker, const HoldAnswer &answer)
{
    std::unordered_set<TaskKey> listed;
    for (const RunningRow &it : answer.running)
        listed.insert(it.run.task);
    // The worker's clock may be slow.
    const Duration stopTime = m_settings.stopTimeout
            + m_settings.stopTimeout * LeaseClock::slownessPercent / wholePercent
            + m_settings.recordPause;
    const std::vector<RunRef> runs = worker->runs;
    for (const RunRef &it : runs) {
        const Run &run = it.get();
        const bool mayBeGone = run.phase == RunPhase::Running
                || (run.phase == RunPhase::Stopping && run.stopConfirmed);
        // A list that was asked for before the worker's last word on the run says nothing.
        const Timestamp since =
                run.phase == RunPhase::Stopping ? run.confirmedAt + stopTime : run.confirmedAt;
        if (!mayBeGone || listed.contains(it.task.key()) || answer.sentAt <= since)
            continue;
        note("run-lost", it.key(), worker, "reason=unlisted");
        ++m_counts.lost;
        releaseRun(it);
        requeue(now, it.task);
    }
}

// ---- slow checks

void JobScheduler::checkLapses(Timestamp now)
{
    std::vector<WorkerId> forgotten;
    for (const auto &[id, worker] : m_workers.all()) {
        const bool hasLapsed = now >= worker->lease.lapsedAt();
        if (hasLapsed && !worker->runs.empty()) {
            loseRuns(now, worker.get(), "lapsed");
            worker->isKnown = false;
        }
        for (const RunRef &it : worker->runs) {
            Run &run = it.get();
            if (run.phase == RunPhase::Stopping && !run.stopConfirmed && !run.stopInFlight
                && now >= run.stopAgainAt)
                requestStop(now, it, "again");
        }
        const bool isSilent = now - worker->heardAt > m_settings.forgetAfter;
        if (hasLapsed && isSilent && worker->runs.empty())
            forgotten.push_back(id);
    }
    for (const WorkerId it : forgotten) {
        const Worker *worker = m_workers.find(it);
        note("worker-forgotten", {}, worker, {});
        m_removed.push_back(worker->life.name);
        m_workers.remove(it);
    }
}

void JobScheduler::checkTakeover(Timestamp now)
{
    if (!m_isTakingOver)
        return;
    std::size_t unknown = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        if (!worker->isKnown && now < worker->lease.lapsedAt())
            ++unknown;
    }
    if (unknown > 0)
        return;
    m_isTakingOver = false;
    m_placementDue = true;
    note("take-over-ended", {}, nullptr, "workers=" + std::to_string(m_workers.all().size()));
}

} // namespace acaciafork::jobs
