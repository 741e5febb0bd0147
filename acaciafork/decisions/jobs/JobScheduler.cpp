#include "acaciafork/decisions/jobs/JobScheduler.h"

#include <algorithm>
#include <array>
#include <utility>

// Tenure, jobs, recording of run ends, and hand-over of commands. Runs, workers, placement and tail
// latencies are in separate files.

namespace acaciafork::jobs {
namespace {

/// Interval between the checks that iterate over all workers and steps.
constexpr Duration slowCheckInterval = std::chrono::milliseconds(100);
/// Interval between fleet summaries in the log.
constexpr Duration summaryInterval = std::chrono::seconds(2);
/// Interval between records of the interference estimates: bounds what a new leader may have to
/// learn again.
constexpr Duration interferenceRecordInterval = std::chrono::seconds(3);
/// Maximum number of occurrences opened from one tick to the next, and at the beginning of a
/// tenure; bounds the length of a turn. A wide one counts once more for each bytesPerOpening.
constexpr std::size_t maxOpeningsPerTick = 200;
constexpr std::size_t maxOpeningsAtBegin = 10'000;
constexpr std::size_t bytesPerOpening = std::size_t { 16 } << 10U;
/// Maximum number of run ends in one record.
constexpr std::size_t maxEndsPerRecord = 2000;

PlacerSettings placerSettings(const JobSchedulerSettings &settings)
{
    PlacerSettings placer = settings.placer;
    placer.bestFit = placer.bestFit || settings.lookAhead;
    return placer;
}

} // namespace

JobScheduler::JobScheduler(const JobSchedulerSettings &settings)
    : m_settings(settings)
    , m_turns(settings.turns)
    , m_placer(placerSettings(settings), &m_interference,
               { .closedZones = &m_closedZones,
                 .exploration = settings.cautiousBackfill ? &m_exploration : nullptr,
                 .gaps = &m_gaps,
                 .overdue = settings.cautiousBackfill ? nullptr : &m_overdueStarts,
                 .demand = settings.cautiousBackfill ? nullptr : &m_backfillDemand })
    , m_round(&m_placer)
    , m_throttle(settings.throttle)
    , m_jobs(settings.memory)
    , m_order(settings.lookAhead)
{ }

void JobScheduler::begin(Moment at, Tenure tenure, std::span<const QueueSpec> queues,
                         std::span<const JobView> jobs, std::span<const WorkerLife> workers,
                         std::span<const InterferenceEstimate> estimates,
                         std::span<const std::string> closedZones)
{
    end();
    m_closedZones.assign(closedZones);
    m_tenure = tenure;
    setQueues(queues);
    m_interference.restore(estimates);
    for (const WorkerLife &it : workers) {
        Worker &worker = m_workers.add(it);
        worker.isRecorded = true;
        worker.lastHeardAt = at.now;
        worker.lease.assumeGranted(at.now, m_settings.lease);
        worker.leaseOrderedAt = at.now;
    }
    m_crashRate.reset(at.now);
    m_isTakingOver = !workers.empty();
    m_hasAdmittedInherited = !m_isTakingOver;
    m_tenureBeganAt = at.now;
    m_inheritedAdmittedAt = at.now;
    m_earlierLeases = {};
    m_earlierLeases.assumeGranted(at.now + m_settings.maxOrderDelay, m_settings.maxLease);
    for (const JobView &it : jobs)
        addJob(at, it, true);
    m_openingsLeft = maxOpeningsAtBegin;
    openDueOccurrences(at);
    updateUnguardedPools();
    restoreExposures(at.now);
    logMemory();
    note("tenure-began", {}, nullptr,
         "tenure=" + std::to_string(tenure.value) + " jobs=" + std::to_string(jobs.size())
                 + " workers=" + std::to_string(workers.size()));
}

void JobScheduler::end()
{
    m_closedZones.assign({});
    m_round.reset();
    m_gaps.clear();
    m_overdueStarts.clear();
    m_turns.clear();
    m_nextTurnAt.clear();
    m_relocation.clear();
    m_nextRelocation = {};
    m_backfillDemand.clear();
    m_counts.gapsKept = 0;
    m_counts.openWorkers = 0;
    m_order.clear();
    m_overdueLongRunning.clear();
    m_urgentSteps.clear();
    m_jobs.clear();
    m_workers.clear();
    m_exploration.clear();
    m_occurrences.clear();
    m_doneTasks.clear();
    m_reopened.clear();
    m_heldBytes = 0;
    m_durations.clear();
    m_unseenTasks.clear();
    m_nextLife = 0;
    m_ends.clear();
    m_endedExposures.clear();
    m_batchWorkers.clear();
    m_failedJobs.clear();
    m_batches.clear();
    m_flushEndsNow = false;
    m_exposureRecords.clear();
    m_flushExposuresNow = false;
    m_pendingTrials.clear();
    m_exposureBatches.clear();
    m_waitingSuspects.clear();
    m_unplacedTrials.clear();
    m_finishedJobs.clear();
    m_changedWorkers.clear();
    m_removedWorkers.clear();
    m_commands.clear();
    m_isFenced = false;
    m_isTakingOver = false;
    m_permitRequestsInFlight = 0;
    m_tenure = {};
}

void JobScheduler::note(std::string_view event, const RunKey &run, const Worker *worker,
                        std::string detail)
{
    m_commands.emplace_back(
            LogEvent { .event = event,
                       .task = run.task,
                       .run = run.run,
                       .worker = worker == nullptr ? WorkerName {} : worker->life.name,
                       .detail = std::move(detail) });
}

// ---- queues and jobs

void JobScheduler::queuesChanged(Moment at, std::span<const QueueSpec> queues)
{
    const std::map<std::string, QueueSpec> before = m_queues;
    std::map<std::string, std::size_t> moved;
    setQueues(queues);
    for (const auto &[id, job] : m_jobs.all()) {
        const QueueSpec *queue = findQueue(job->queue, job->queueAddress);
        if (job->phase != JobPhase::Active || queue == nullptr)
            continue;
        const auto known = before.find(job->queue);
        if (known != before.end() && known->second == *queue)
            continue;
        if (job->pool != queue->pool)
            ++moved[queue->name];
        m_jobs.follow(job.get(), *queue);
        for (Step &it : job->steps())
            m_order.update(at.now, &it);
        failIfExhausted(at.now, job.get());
    }
    for (const auto &[name, n] : moved)
        note("queue-moved", {}, nullptr,
             "queue=" + name + " pool=" + m_queues.at(name).pool + " jobs=" + std::to_string(n));
    updateUnguardedPools();
    m_occurrences.retry();
    m_placementDue = true;
    withdrawStarts(at, [this](const StartRun &it) {
        const Job *job = m_jobs.find(it.run.task.job);
        const Worker *worker = m_workers.find(it.target.worker);
        return job != nullptr && worker != nullptr && worker->life.pool != job->pool;
    });
}

void JobScheduler::setQueues(std::span<const QueueSpec> queues)
{
    m_queues.clear();
    for (const QueueSpec &it : queues)
        m_queues[it.name] = it;
}

const QueueSpec *JobScheduler::findQueue(const std::string &name, const std::string &address) const
{
    const auto known = m_queues.find(name);
    if (known != m_queues.end())
        return &known->second;
    const auto isThere = [&](const auto &it) { return it.second.address == address; };
    const auto renamed = address.empty() ? m_queues.end() : std::ranges::find_if(m_queues, isThere);
    return renamed == m_queues.end() ? nullptr : &renamed->second;
}

void JobScheduler::updateUnguardedPools()
{
    m_unguardedPools.clear();
    // Jobs may outlive the queue that names their pool.
    for (const auto &[id, job] : m_jobs.all()) {
        if (!job->guardsCapacity)
            m_unguardedPools.insert(job->pool);
    }
    for (const auto &[name, queue] : m_queues) {
        if (queue.guardsCapacity)
            m_unguardedPools.erase(queue.pool);
        else
            m_unguardedPools.insert(queue.pool);
    }
    for (const auto &[id, worker] : m_workers.all())
        worker->guardsCapacity = !m_unguardedPools.contains(worker->life.pool);
}

template <typename Predicate>
void JobScheduler::withdrawStarts(Moment at, Predicate isObsolete)
{
    // A leader that may not act for a while would order these starts later.
    std::vector<StartRun> untaken;
    std::erase_if(m_commands, [&](const Command &it) {
        const auto *start = std::get_if<StartRun>(&it);
        if (start == nullptr || !isObsolete(*start))
            return false;
        untaken.push_back(*start);
        return true;
    });
    for (const StartRun &it : untaken)
        startAnswered(at, it.target.worker, it.run, OrderOutcome::NotSent);
}

void JobScheduler::zonesChanged(Moment at, std::span<const std::string> closed)
{
    m_closedZones.assign(closed);
    m_placementDue = true;
    withdrawStarts(at,
                   [this](const StartRun &it) { return m_closedZones.isClosed(it.target.zone); });
}

void JobScheduler::jobAccepted(Moment at, const JobView &job)
{
    addJob(at, job, false);
    openDueOccurrences(at);
}

void JobScheduler::addJob(Moment at, const JobView &view, bool isInherited)
{
    if (m_jobs.find(view.id) != nullptr)
        return;
    const QueueSpec *queue = findQueue(view.queue.name, view.queue.address);
    Job *job =
            m_jobs.add(at.now, at.wallMicroseconds, view, queue == nullptr ? view.queue : *queue);
    job->isInherited = isInherited;
    if (!isInherited) {
        job->acceptedAt = at.now;
        if (!job->guardsCapacity)
            updateUnguardedPools();
    }
    for (const auto &[number, occurrence] : job->open) {
        prepare(occurrence.get());
        m_reopened.push_back(occurrence->steps.front().key(0));
    }
    if (isInherited)
        noteUnseenRuns(job);
    job->hasBegun = view.results.doneCount() > 0 || !view.failures.empty();
    const std::int64_t dueUs = job->spec->isScheduled
            ? job->dueUs(0)
            : std::min(at.wallMicroseconds, view.submittedUs);
    m_occurrences.add(job->id, dueUs);
}

void JobScheduler::prepare(Occurrence *occurrence)
{
    for (Step &it : occurrence->steps) {
        it.dueAt = it.job->acceptedAt;
        it.mayRunUnseen = it.job->isInherited && !m_hasAdmittedInherited;
        it.image = m_interference.intern(it.spec->image);
    }
}

TaskRef JobScheduler::findOrOpen(Timestamp now, const TaskKey &key)
{
    if (const TaskRef task = m_jobs.find(key))
        return task;
    Job *job = m_jobs.find(key.job);
    const bool mayOpen = job != nullptr && job->phase == JobPhase::Active
            && key.occurrence < job->spec->occurrences() && !job->open.contains(key.occurrence)
            && !job->ended.contains(key.occurrence) && key.step < job->spec->steps.size()
            && key.task < job->spec->steps[key.step].count;
    if (!mayOpen)
        return {};
    // The clock of the leader that has started it was ahead of this one, for example.
    note("occurrence-opened", { .task = key, .run = {} }, nullptr, "reason=listed");
    prepare(m_jobs.open(now, job, key.occurrence));
    m_reopened.push_back(key);
    return m_jobs.find(key);
}

void JobScheduler::openDueOccurrences(Moment at)
{
    // Occurrences that are open already need no memory: they do not wait behind others.
    std::erase_if(m_reopened, [&](const TaskKey &it) {
        const TaskRef task = m_jobs.find(it);
        const Job *job = m_jobs.find(it.job);
        if (task && job->spec->isScheduled && job->dueUs(it.occurrence) > at.wallMicroseconds)
            return false;
        if (task && job->phase == JobPhase::Active)
            becomeDue(at, task.step->parent);
        return true;
    });
    m_occurrences.advance(at.wallMicroseconds);
    if (!m_occurrences.mayOpen())
        return;
    std::set<std::string, std::less<>> fullQueues;
    while (m_openingsLeft > 0) {
        const std::optional<JobId> id = m_occurrences.next();
        if (!id)
            break;
        Job *job = m_jobs.find(*id);
        if (job == nullptr || job->phase != JobPhase::Active)
            continue;
        const std::uint32_t number = job->nextOccurrence;
        if (!job->ended.contains(number) && !job->open.contains(number)) {
            const std::size_t cost = JobMemory::occurrenceBytes(*job->spec);
            if (fullQueues.contains(job->queue)
                || !m_jobs.memory().mayOpen(job->queue, job->openBytes, cost)) {
                // Otherwise a wide occurrence would wait as long as small ones keep coming.
                if (job->openBytes == 0)
                    fullQueues.insert(job->queue);
                m_occurrences.defer(*id);
                continue;
            }
            Occurrence *occurrence = m_jobs.open(at.now, job, number);
            prepare(occurrence);
            becomeDue(at, occurrence);
            m_openingsLeft -= std::min(m_openingsLeft, cost / bytesPerOpening);
        }
        m_openingsLeft -= std::min<std::size_t>(m_openingsLeft, 1);
        if (++job->nextOccurrence < job->spec->occurrences())
            m_occurrences.add(*id, job->dueUs(job->nextOccurrence));
    }
    m_occurrences.endRound(m_openingsLeft == 0);
}

void JobScheduler::becomeDue(Moment at, Occurrence *occurrence)
{
    for (Step &it : occurrence->steps) {
        const Job &job = *it.job;
        it.isDeferred = false;
        if (job.spec->isScheduled)
            it.dueAt = at.now - Duration(at.wallMicroseconds - job.dueUs(occurrence->number));
    }
    for (Step &it : occurrence->steps) {
        // Callers count the wait over changes of leader.
        if (it.mayStart() && it.remainingTasks > 0)
            makeReady(
                    at.now, &it,
                    std::min(at.now, it.job->afterLastRun(std::max(it.dueAt, it.job->acceptedAt))));
    }
}

void JobScheduler::closeEndedOccurrences()
{
    for (const TaskKey &it : m_doneTasks) {
        const TaskRef task = m_jobs.find(it);
        if (!task)
            continue;
        m_jobs.dropRecord(task);
        const Occurrence &occurrence = *task.step->parent;
        Job *job = task.step->job;
        if (job->phase != JobPhase::Active || occurrence.tasksLeft > 0 || occurrence.runCount > 0)
            continue;
        m_jobs.close(job, it.occurrence);
        holdUntilRecorded(JobMemory::occurrenceBytes(*job->spec));
        m_occurrences.retry();
    }
    m_doneTasks.clear();
}

void JobScheduler::holdUntilRecorded(std::size_t bytes)
{
    if (!m_ends.empty() || !m_failedJobs.empty())
        m_heldBytes += bytes;
    else if (!m_batches.empty())
        m_batches.rbegin()->second.heldBytes += bytes;
    else
        return;
    m_jobs.memory().held(bytes);
}

void JobScheduler::makeReady(Timestamp now, Step *step, Timestamp since)
{
    step->readyAt = since;
    step->job->isFinishedFirst = m_settings.learnDurations;
    if (m_settings.learnDurations)
        step->job->stretch = m_durations.stretch(step->job->queue);
    for (std::uint32_t it = 0; it < step->tasks.size(); ++it) {
        Task &task = step->tasks[it];
        if (!task.done && !task.hasRun())
            task.idleSince = std::min(task.idleSince, since);
        requeue(now, { .step = step, .task = it });
    }
}

void JobScheduler::requeue(Timestamp now, TaskRef ref)
{
    Task &task = ref.get();
    Step *step = ref.step;
    if (task.done || task.isReady || task.mayRunUnseen || task.hasRun() || !step->mayStart()
        || step->job->phase != JobPhase::Active)
        return;
    // Fewer attempts may be allowed now than when its last run started.
    if (hasUsedAttempts(ref) && !awaitsTakeOver(*step)) {
        giveUpJob(now, ref, nullptr, {});
        return;
    }
    task.isReady = true;
    task.idleSince = std::min(task.idleSince, now);
    m_placementDue = true;
    // The members of a gang start together, so a suspected one waits with the others.
    if (task.crashes().isSuspect() && !step->spec->gang) {
        task.awaitsTrial = true;
        // A wait under an earlier leader does not shorten the isolation of a trial.
        m_waitingSuspects.push_back(
                { .task = ref.key(), .since = std::max(task.idleSince, m_tenureBeganAt) });
        return;
    }
    step->waitingSince =
            step->ready.empty() ? task.idleSince : std::min(step->waitingSince, task.idleSince);
    // A long-running task that has lost its run comes before those that have had none.
    const auto hadNoRun = [step](std::uint32_t it) { return !step->tasks[it].hasRunBefore; };
    auto position = step->ready.end();
    if (step->spec->longRunning && task.hasRunBefore)
        position = std::ranges::find_if(step->ready, hadNoRun);
    else if (task.ownRecord != nullptr && m_jobs.memory().mustFinishBegun())
        position = step->ready.begin();
    step->ready.insert(position, ref.task);
    m_order.insert(now, step);
}

void JobScheduler::jobCancelled(Moment at, JobId id)
{
    Job *job = m_jobs.find(id);
    if (job != nullptr && job->phase == JobPhase::Active)
        endJob(at.now, job, JobPhase::Cancelled);
}

void JobScheduler::endJob(Timestamp now, Job *job, JobPhase phase)
{
    static constexpr std::array<std::string_view, 4> names { "active", "cancelled", "failed",
                                                             "completed" };
    job->phase = phase;
    m_commands.emplace_back(JobEnded { .job = job->id,
                                       .outcome = names.at(static_cast<std::size_t>(phase)),
                                       .age = now - job->acceptedAt,
                                       .objective = job->objective });
    for (Step &step : job->steps()) {
        m_order.erase(&step);
        step.ready.clear();
        for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
            step.tasks[it].isReady = false;
            step.tasks[it].awaitsTrial = false;
            for (std::size_t slot = 0; slot < maxRunsPerTask; ++slot) {
                const RunRef run { .task = { .step = &step, .task = it }, .slot = slot };
                if (run.exists())
                    requestStop(now, run, "job-over");
            }
        }
    }
    removeIfFinished(job);
}

void JobScheduler::removeIfFinished(Job *job)
{
    // Callers may still use the job, so it is removed at the end of the turn.
    if (job->phase != JobPhase::Active && job->runCount == 0)
        m_finishedJobs.push_back(job->id);
}

bool JobScheduler::isAboutToEnd(JobId id) const
{
    const Job *job = m_jobs.find(id);
    if (job == nullptr || job->phase != JobPhase::Active)
        return true;
    // Long-running tasks end only when their job is cancelled.
    const bool ends = std::ranges::none_of(job->spec->steps, &StepSpec::longRunning);
    return ends && job->runCount >= job->tasksLeft;
}

std::uint32_t JobScheduler::pending(const std::string &queue) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_jobs.all(), [&](const auto &it) {
        const Job &job = *it.second;
        return job.queue == queue && job.phase == JobPhase::Active && !job.hasBegun;
    }));
}

// ---- recording of run ends

void JobScheduler::recordEnd(Timestamp now, const RunKey &run, bool failed, Worker *worker)
{
    if (m_ends.empty() && m_failedJobs.empty())
        m_oldestEndAt = now;
    m_ends.push_back({ .task = run.task, .run = run.run, .failed = failed });
    if (worker != nullptr)
        joinNextBatch(worker);
}

void JobScheduler::joinNextBatch(Worker *worker)
{
    if (worker->lastBatch == m_lastBatch + 1)
        return;
    worker->lastBatch = m_lastBatch + 1;
    m_batchWorkers.push_back(worker->id);
}

void JobScheduler::joinOpenBatch(Worker *worker)
{
    if (!m_ends.empty() || !m_failedJobs.empty()) {
        joinNextBatch(worker);
    } else if (!m_batches.empty() && m_batches.rbegin()->first > worker->lastBatch) {
        auto &[number, batch] = *m_batches.rbegin();
        worker->lastBatch = number;
        batch.cursors.emplace_back(worker->id, worker->life.born, worker->seenEnds);
    }
}

void JobScheduler::flushEnds(Timestamp now)
{
    if (m_ends.empty() && m_failedJobs.empty())
        return;
    if (!m_flushEndsNow && now - m_oldestEndAt < m_settings.recordDelay
        && m_ends.size() < maxEndsPerRecord)
        return;
    const std::uint64_t batch = ++m_lastBatch;
    Batch &open = m_batches[batch];
    for (const WorkerId it : m_batchWorkers) {
        const Worker *worker = m_workers.find(it);
        if (worker != nullptr && worker->lastBatch == batch)
            open.cursors.emplace_back(it, worker->life.born, worker->seenEnds);
    }
    m_batchWorkers.clear();
    open.exposures.swap(m_endedExposures);
    open.heldBytes = std::exchange(m_heldBytes, 0);
    m_commands.emplace_back(RecordEnds {
            .batch = batch, .ends = std::move(m_ends), .failedJobs = std::move(m_failedJobs) });
    m_ends.clear();
    m_failedJobs.clear();
    m_flushEndsNow = false;
}

void JobScheduler::endsRecorded(Moment at, std::uint64_t batch)
{
    const auto it = m_batches.find(batch);
    if (it == m_batches.end())
        return;
    for (const auto &[id, born, cursor] : it->second.cursors) {
        Worker *worker = m_workers.find(id);
        if (worker == nullptr || worker->life.born != born)
            continue;
        // When no later batch includes a run end of this worker, its other run ends need no record
        // and count as recorded as well.
        const std::uint64_t recorded = worker->lastBatch <= batch ? worker->seenEnds : cursor;
        worker->recordedEnds = std::max(worker->recordedEnds, recorded);
        renewIfDue(at.now, worker);
    }
    for (const ExposureRecord &ended : it->second.exposures)
        recordExposure(at.now, ended.task, ended.change, ended.exposure);
    m_jobs.memory().heldReleased(it->second.heldBytes);
    m_occurrences.retry();
    m_batches.erase(it);
}

// ---- time and commands

void JobScheduler::tick(Moment at)
{
    m_jobs.memory().advance(at.now);
    m_openingsLeft = maxOpeningsPerTick;
    openDueOccurrences(at);
    for (const auto &[id, worker] : m_workers.all())
        renewIfDue(at.now, worker.get());
    if (at.now < m_nextSlowCheck)
        return;
    m_nextSlowCheck = at.now + slowCheckInterval;
    m_exploration.expire(at.now);
    m_crashRate.advance(at.now, m_workers.all().size());
    checkExpiredLeases(at.now);
    checkDrainingWorkers(at.now);
    abandonOverdueStarts(at.now);
    checkTakeover(at.now);
    startSpeculativeCopies(at.now);
    m_backfillDemand.update(m_order, m_workers);
    m_turns.update(at.now, m_order);
    relocateServing(at.now);
    placeOverdueSteps(at.now);
    m_order.refresh(at.now);
    m_placementDue = true;
    if (at.now >= m_nextSummary) {
        m_nextSummary = at.now + summaryInterval;
        logSummary(at.now);
        logBlockedSteps(at.now);
        logBackfill(at.now);
        logWaitingTasks(at.now);
        logLongRunningWaits(at.now);
        logTakeover(at.now);
        logMemory();
    }
    recordInterference(at.now);
}

void JobScheduler::recordInterference(Timestamp now)
{
    if (now < m_nextInterferenceRecord)
        return;
    m_nextInterferenceRecord = now + interferenceRecordInterval;
    if (m_settings.cautiousBackfill)
        m_interference.fade(interferenceRecordInterval);
    std::vector<InterferenceEstimate> pairs = m_interference.estimates();
    if (!pairs.empty())
        m_commands.emplace_back(RecordDisturbance { .pairs = std::move(pairs) });
}

Commands JobScheduler::takeCommands(Moment at)
{
    if (m_placementDue && !m_isFenced && at.now >= m_nextPlacement) {
        m_placementDue = false;
        // While tasks wait for capacity, the rate of placement rounds is limited.
        if (!place(at.now))
            m_nextPlacement = at.now + m_settings.placementInterval;
    }
    flushEnds(at.now);
    flushExposures(at.now);
    if (!m_changedWorkers.empty() || !m_removedWorkers.empty())
        m_commands.emplace_back(RecordWorkers { .put = std::move(m_changedWorkers),
                                                .removed = std::move(m_removedWorkers) });
    m_changedWorkers.clear();
    m_removedWorkers.clear();
    closeEndedOccurrences();
    for (const JobId it : m_finishedJobs) {
        if (const Job *job = m_jobs.find(it))
            holdUntilRecorded(job->definitionBytes + job->openBytes);
        m_jobs.remove(it);
        m_occurrences.retry();
    }
    m_finishedJobs.clear();
    Commands commands;
    commands.swap(m_commands);
    return commands;
}

} // namespace acaciafork::jobs
