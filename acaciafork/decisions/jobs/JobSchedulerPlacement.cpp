#include <algorithm>
#include <set>

#include "acaciafork/decisions/jobs/JobScheduler.h"

// Placement of ready tasks, and speculative copies of slow tasks.

namespace acaciafork::jobs {
namespace {

/// A speculative copy pays off only for a task that takes at least this much longer than the others
/// of its step.
constexpr Duration minCopyDelay = std::chrono::milliseconds(150);

/// With look-ahead, one of this many tries of a placement round is left for steps that the rounds
/// did not reach: with 48 tries each 20 ms, 16 of them reach 400 steps that fit nowhere in 500 ms.
constexpr std::size_t rotatingShare = 3;
/// A step that was not tried for this long comes before those that come next in order. Less than
/// the 500 ms within which each step is tried again, which leaves five rounds to do so.
constexpr Duration unreachedAfter = std::chrono::milliseconds(400);

/// Interval between the plans for kept workers, and how many steps are planned for each time. Each
/// plan looks at all workers of a pool once, as a step that fits nowhere does in a round.
constexpr Duration gapPlanningInterval = std::chrono::milliseconds(100);
constexpr std::size_t maxGapPlans = 4;
constexpr std::size_t maxUrgentGapPlans = 2;
constexpr std::size_t maxTurnGapPlans = 4;

/// At the beginning of a tenure, inherited steps are tried only in the usual way for this long:
/// about as long as the rounds need to reach each step.
constexpr Duration usualTriesOnlyFor = std::chrono::milliseconds(500);

/// A start elsewhere counts as passing over a long-running task where this many of it would fit.
constexpr std::int64_t passedOverRoom = 2;

/// Requirements that could not be met in a placement round; steps that need at least as much are
/// not tried.
struct FailedPlacement
{
    std::string_view pool;
    bool fills = false;
    /// For a backfill task, placement also depends on its image.
    std::string_view image;
    Size size;
};

bool cannotFit(const std::vector<FailedPlacement> &failedPlacements, const Step &step)
{
    return std::ranges::any_of(failedPlacements, [&](const FailedPlacement &it) {
        return it.pool == step.job->pool && it.fills == step.spec->fills
                && (!it.fills || it.image == step.spec->image) && it.size.fitsIn(step.spec->size);
    });
}

/// True when only the size of its tasks limits where the step can run.
bool isLimitedBySizeOnly(const StepSpec &spec)
{
    return spec.maxPerWorker == 0 && spec.label.empty() && !spec.gang;
}

} // namespace

bool JobScheduler::place(Timestamp now)
{
    // Nothing can be ordered, and more to record would only follow what waits.
    if (isRecordOverdue(now))
        return false;
    std::vector<FailedPlacement> failedPlacements;
    std::size_t failedCount = 0;
    // Trials come first: each other start keeps its worker from having one.
    placeTrials(now);
    giveUpGaps(now);
    placeRelocated(now);
    m_round.reset();
    findOverdueLongRunning(now);
    const bool placedUrgent = placeUrgentSteps(now);
    placeTurns(now);
    const auto tryStep = [&](Step *step) {
        if (awaitsTakeOver(*step) || step->isUrgent)
            return;
        if (cannotFit(failedPlacements, *step) && m_gaps.keptFor(*step) == 0) {
            // That it fits nowhere is known as if it had been tried.
            if (m_settings.lookAhead)
                step->lastTriedAt = now;
            return;
        }
        step->lastTriedAt = now;
        if (placeStep(now, step))
            return;
        ++failedCount;
        // Where only kept workers have room, others of its size may still be let in.
        if (isLimitedBySizeOnly(*step->spec) && step->permits() == nullptr
            && !m_round.wasTurnedAway())
            failedPlacements.push_back({ .pool = step->job->pool,
                                         .fills = step->spec->fills,
                                         .image = step->spec->image,
                                         .size = step->spec->size });
    };
    // With look-ahead, a part of the tries is left for steps that the rounds did not reach.
    const std::size_t rotating =
            m_settings.lookAhead ? m_settings.maxFailedPlacements / rotatingShare : 0;
    const auto &steps = m_order.steps();
    auto it = steps.begin();
    while (it != steps.end() && failedCount < m_settings.maxFailedPlacements - rotating) {
        Step *step = it->second;
        ++it;
        tryStep(step);
    }
    if (rotating > 0 && it != steps.end()) {
        for (Step *step : unreachedSteps(now, it)) {
            if (failedCount >= m_settings.maxFailedPlacements)
                break;
            tryStep(step);
        }
    }
    keepGaps(now);
    reserveForTrials(now);
    m_overdueLongRunning.clear();
    m_urgentSteps.clear();
    return placedUrgent && failedCount == 0 && m_waitingSuspects.empty();
}

void JobScheduler::placeTurns(Timestamp now)
{
    std::vector<FailedPlacement> failedPlacements;
    /// Of backfill steps, and of those that reserve processor time: neither may use up the tries of
    /// the other.
    std::size_t failedFilling = 0;
    std::size_t failedReserving = 0;
    for (const TaskKey &it : m_turns.due()) {
        Step *step = m_jobs.find(it).step;
        if (step == nullptr)
            continue;
        std::size_t &failedCount = step->spec->fills ? failedFilling : failedReserving;
        if (failedCount >= m_settings.maxOverdueTries || !step->isQueued || awaitsTakeOver(*step)
            || step->job->isAtWork() || cannotFit(failedPlacements, *step)
            || !mayTakeTurn(now, *step))
            continue;
        step->lastTriedAt = now;
        const std::uint32_t runsBefore = step->job->runCount;
        if (step->spec->gang ? placeGang(now, step, PlacementMode::Usual) : placeOne(now, step)) {
            if (step->job->runCount > runsBefore)
                turnTaken(now, *step);
            continue;
        }
        ++failedCount;
        if (isLimitedBySizeOnly(*step->spec) && step->permits() == nullptr)
            failedPlacements.push_back({ .pool = step->job->pool,
                                         .fills = step->spec->fills,
                                         .image = step->spec->image,
                                         .size = step->spec->size });
    }
}

bool JobScheduler::mayTakeTurn(Timestamp now, const Step &step) const
{
    const auto it = m_nextTurnAt.find(step.job->pool);
    return step.spec->fills || it == m_nextTurnAt.end() || now >= it->second;
}

void JobScheduler::turnTaken(Timestamp now, const Step &step)
{
    if (step.spec->fills)
        return;
    std::int64_t capacity = 0;
    for (const auto &[id, worker] : m_workers.all())
        capacity += worker->life.pool == step.job->pool ? worker->life.capacity.millicores : 0;
    const std::int64_t allowed = std::max<std::int64_t>(
            1, capacity * m_settings.turns.maxReservingPercent / wholePercent);
    const std::int64_t used = step.spec->size.millicores * (step.spec->gang ? step.spec->count : 1);
    Timestamp &next = m_nextTurnAt[step.job->pool];
    next = std::max(next, now) + step.spec->estimate * used / allowed;
}

bool JobScheduler::placeOne(Timestamp now, Step *step)
{
    m_round.rank(now, m_workers, *step);
    const TaskRef task { .step = step, .task = step->ready.front() };
    Worker *worker = m_round.choose(task.get());
    if (worker == nullptr) {
        requestPermits(now, step);
        return false;
    }
    dropFromReady(task);
    startRun(now, task, worker, nextRunNumber(task.get()));
    m_round.placed();
    return true;
}

void JobScheduler::findOverdueLongRunning(Timestamp now)
{
    m_overdueLongRunning.clear();
    m_urgentSteps.clear();
    for (const auto &[number, step] : m_order.longRunningSteps()) {
        if (awaitsTakeOver(*step))
            continue;
        step->isUrgent = isUrgent(now, *step);
        if (step->isUrgent)
            m_urgentSteps.push_back(step);
        if (step->isUrgent || step->firstReadySince() <= now - m_settings.overdueAfter)
            m_overdueLongRunning.push_back(step);
    }
    std::ranges::stable_sort(m_urgentSteps, {}, &Step::lastTriedAt);
}

bool JobScheduler::isUrgent(Timestamp now, const Step &step) const
{
    return !step.spec->gang && !step.spec->fills
            && step.firstDisplacedSince() <= now - m_settings.urgentAfter;
}

bool JobScheduler::placeUrgentSteps(Timestamp now)
{
    std::size_t failedCount = 0;
    for (Step *it : m_urgentSteps) {
        if (failedCount >= m_settings.maxOverdueTries)
            break;
        it->lastTriedAt = now;
        failedCount += placeStep(now, it) ? 0 : 1;
    }
    return failedCount == 0;
}

bool JobScheduler::passesOverLongRunning(const Worker &worker) const
{
    return std::ranges::any_of(m_overdueLongRunning, [&](const Step *it) {
        return it->isQueued && (it->spec->reserved() * passedOverRoom).fitsIn(worker.freeCapacity())
                && Placer::canEverFit(worker, *it) && m_placer.fits(worker, *it);
    });
}

void JobScheduler::keepGaps(Timestamp now)
{
    if (!m_settings.lookAhead || now < m_nextGapPlanning)
        return;
    m_nextGapPlanning = now + gapPlanningInterval;
    std::size_t plans = 0;
    // In turn, since there may be no worker to keep for some of them.
    std::ranges::stable_sort(m_urgentSteps, {}, &Step::lastPlannedAt);
    for (Step *it : m_urgentSteps) {
        if (plans >= maxUrgentGapPlans)
            break;
        if (!it->isQueued)
            continue;
        const std::size_t n = m_gaps.mayKeepUrgently(*it, m_workers.all().size());
        if (n == 0)
            continue;
        ++plans;
        it->lastPlannedAt = now;
        keepGaps(now, *it, n, true);
    }
    keepGapsForTurns(now);
    plans = 0;
    for (const auto &[rank, step] : m_order.steps()) {
        if (plans >= maxGapPlans)
            break;
        if (awaitsTakeOver(*step) || !m_gaps.mayKeep(now, *step))
            continue;
        ++plans;
        keepGaps(now, *step, 1, false);
    }
}

void JobScheduler::keepGapsForTurns(Timestamp now)
{
    std::vector<Step *> waiting;
    for (const TaskKey &it : m_turns.due()) {
        Step *step = m_jobs.find(it).step;
        if (step != nullptr && step->isQueued && !awaitsTakeOver(*step) && !step->job->isAtWork()
            && !m_gaps.isKeptUrgentlyFor(*step) && mayTakeTurn(now, *step))
            waiting.push_back(step);
    }
    std::ranges::stable_sort(waiting, {}, &Step::lastPlannedAt);
    std::size_t plans = 0;
    for (Step *it : waiting) {
        if (plans >= maxTurnGapPlans)
            break;
        if (m_gaps.mayKeepUrgently(*it, m_workers.all().size()) == 0)
            continue;
        ++plans;
        it->lastPlannedAt = now;
        keepGaps(now, *it, 1, true);
    }
}

void JobScheduler::keepGaps(Timestamp now, const Step &step, std::size_t count, bool isUrgent)
{
    // A worker kept for a short task may stay so for longer than a lost task may wait.
    for (const auto &[worker, forecast] : findSoonest(now, step, count, isUrgent)) {
        if (m_gaps.isKept(*worker)) {
            const KeptGap &old = m_gaps.kept().at(worker->id);
            ++m_counts.gapsGivenUp;
            note("gap-given-up", { .task = old.step, .run = {} }, worker,
                 old.describe(now) + " reason=urgent");
            m_gaps.giveUp(worker->id);
        }
        m_gaps.keep(now, *worker, step, forecast, isUrgent);
        m_counts.gapsKept = m_gaps.kept().size();
        const KeptGap &gap = m_gaps.kept().at(worker->id);
        note("gap-kept", { .task = gap.step, .run = {} }, worker, gap.describe(now));
    }
}

std::vector<std::pair<const Worker *, GapForecast>>
JobScheduler::findSoonest(Timestamp now, const Step &step, std::size_t count, bool takesOver) const
{
    std::vector<std::pair<const Worker *, GapForecast>> soonest;
    const Timestamp latest = now + m_gaps.longestKeep();
    const Size size = step.spec->reserved();
    m_round.forEachWorker(step.job->pool, [&](const Worker &worker) {
        // A quick look; it rules out most of the workers that serve.
        if (worker.life.capacity.millicores - worker.servingMillicores < size.millicores
            || (takesOver ? m_gaps.isKeptUrgently(worker) : m_gaps.isKept(worker))
            || !Placer::canEverFit(worker, step)
            || (step.spec->maxPerWorker > 0 && worker.runsOf(&step) >= step.spec->maxPerWorker))
            return;
        const std::optional<GapForecast> forecast = GapPlanner::forecast(now, worker, size);
        const Timestamp before = soonest.size() < count ? latest : soonest.back().second.at;
        if (!forecast || forecast->at <= now || forecast->at >= before)
            return;
        const auto isLater = [&](const auto &it) { return it.second.at > forecast->at; };
        soonest.emplace(std::ranges::find_if(soonest, isLater), &worker, *forecast);
        if (soonest.size() > count)
            soonest.pop_back();
    });
    return soonest;
}

void JobScheduler::giveUpGaps(Timestamp now)
{
    for (auto it = m_gaps.kept().begin(); it != m_gaps.kept().end();) {
        const auto &[id, gap] = *it;
        ++it;
        const Worker *worker = m_workers.find(id);
        const bool isUsable = worker != nullptr && m_placer.isUsable(now, *worker);
        const std::string_view reason =
                m_gaps.reasonToGiveUp(now, gap, worker, isUsable, m_jobs.find(gap.step).step);
        if (reason.empty())
            continue;
        ++m_counts.gapsGivenUp;
        note("gap-given-up", { .task = gap.step, .run = {} }, worker,
             gap.describe(now) + " reason=" + std::string(reason));
        m_gaps.giveUp(WorkerId(id));
    }
    m_counts.gapsKept = m_gaps.kept().size();
}

std::vector<Step *>
JobScheduler::unreachedSteps(Timestamp now, std::map<StepOrder::Rank, Step *>::const_iterator from)
{
    std::vector<Step *> found;
    for (; from != m_order.steps().end(); ++from) {
        if (now - from->second->lastTriedAt >= unreachedAfter)
            found.push_back(from->second);
    }
    std::ranges::stable_sort(found, {}, &Step::lastTriedAt);
    return found;
}

bool JobScheduler::placeStep(Timestamp now, Step *step)
{
    if (step->spec->gang)
        return placeGang(now, step, PlacementMode::Usual);
    m_round.rank(now, m_workers, *step);
    while (!step->ready.empty()) {
        const TaskRef task { .step = step, .task = step->ready.front() };
        Worker *worker = m_round.choose(task.get());
        if (worker == nullptr) {
            countHeldBack(step);
            requestPermits(now, step);
            return false;
        }
        step->ready.pop_front();
        task.get().isReady = false;
        startRun(now, task, worker, nextRunNumber(task.get()));
        m_round.placed();
    }
    m_order.erase(step);
    return true;
}

std::vector<Step *> JobScheduler::overdueSteps(Timestamp now) const
{
    std::vector<Step *> steps;
    for (const auto &[rank, step] : m_order.steps()) {
        // With room enough, the next task of a job need not wait anew when the one before has
        // ended. Nor need a long-running one that has waited until the bound when another of its
        // step has started.
        const bool isLimited = m_overdueStarts.isLimited(step->job->pool);
        const bool waitsAnew =
                isLimited && !(step->spec->longRunning && step->acceptedInterference > 0);
        const Timestamp since = waitsAnew ? step->waitingSince
                                          : std::min(step->waitingSince, step->firstReadySince());
        Timestamp overdueAt = since + m_settings.overdueAfter;
        // Its last run may have been lost before this tenure, which is known as the silence of a
        // worker only.
        if (!isLimited && step->job->isInherited && since <= m_inheritedAdmittedAt)
            overdueAt = std::min(overdueAt, m_inheritedAdmittedAt + usualTriesOnlyFor);
        // Urgent steps have been tried in each round.
        if (now < overdueAt || awaitsTakeOver(*step) || step->isUrgent)
            continue;
        // Inherited steps have waited before this tenure. They are tried in the usual way first,
        // where their tasks run at their full shares.
        if (step->job->isInherited && now - m_inheritedAdmittedAt < usualTriesOnlyFor)
            continue;
        // Each long-running task counts by itself, whether others of its job run or not.
        if (step->spec->longRunning || !step->job->isAtWork())
            steps.push_back(step);
    }
    const std::size_t n = std::min(m_settings.maxOverdueTries, steps.size());
    const auto end = steps.begin() + static_cast<std::ptrdiff_t>(n);
    // Half of the tries are left for the others: those that wait for a turn may fit nowhere.
    const auto half = steps.begin() + static_cast<std::ptrdiff_t>(n / 2);
    std::ranges::partial_sort(steps.begin(), half, steps.end(), {}, &Step::lastTriedOverdueAt);
    std::ranges::partial_sort(half, end, steps.end(), {}, [](const Step *it) {
        return std::pair(-it->acceptedInterference, it->lastTriedOverdueAt);
    });
    steps.resize(n);
    return steps;
}

void JobScheduler::updateOverdueStarts(Timestamp now)
{
    m_overdueStarts.update(m_workers,
                           [&](const Worker &worker) { return m_placer.isReachable(now, worker); });
}

void JobScheduler::placeOverdueSteps(Timestamp now)
{
    if (m_isFenced || isRecordOverdue(now))
        return;
    findOverdueLongRunning(now);
    updateOverdueStarts(now);
    for (Step *step : overdueSteps(now)) {
        step->lastTriedOverdueAt = now;
        // A step before this one may have started a task of the same job.
        if (!step->spec->longRunning && step->job->isAtWork())
            continue;
        if (step->spec->gang) {
            placeGang(now, step, PlacementMode::Overdue);
        } else if (step->spec->fills) {
            placeOverdueTask(now, step);
        } else {
            m_round.reset();
            placeStep(now, step);
        }
    }
    m_overdueLongRunning.clear();
    m_urgentSteps.clear();
}

void JobScheduler::placeOverdueTask(Timestamp now, Step *step)
{
    const TaskRef task { .step = step, .task = step->ready.front() };
    Worker *worker =
            m_placer.choose(now, m_workers, *step, task.get(), nullptr, PlacementMode::Overdue);
    if (worker == nullptr) {
        requestPermits(now, step);
        return;
    }
    const Duration waited = now - step->waitingSince;
    dropFromReady(task);
    startRun(now, task, worker, nextRunNumber(task.get()), PlacementMode::Overdue);
    const RunRef run { .task = task, .slot = 0 };
    note("overdue-started", run.key(), worker,
         "waited-ms=" + std::to_string(waited / std::chrono::milliseconds(1))
                 + " percent=" + std::to_string(run.get().percent));
}

void JobScheduler::requestPermits(Timestamp now, Step *step)
{
    if (step->permits() == nullptr || m_permitRequestsInFlight >= m_settings.maxPermitRequests)
        return;
    std::vector<WorkerName> names =
            step->permits()->chooseWorkersToRequest(now, m_workers, m_placer, *step);
    if (names.empty())
        return;
    ++m_permitRequestsInFlight;
    step->permits()->requestSent(names, m_workers);
    const AdvicePolicy &advice = *step->job->advice;
    const auto count = static_cast<std::int64_t>(names.size());
    // Allows for earlier requests, which the advisor answers first.
    const Duration work = (advice.decision + advice.perWorker * count)
            * static_cast<std::int64_t>(m_settings.maxPermitRequests);
    note("permits-asked", { .task = step->key(0), .run = {} }, nullptr,
         "workers=" + std::to_string(count));
    m_commands.emplace_back(RequestPermits { .step = step->key(0),
                                             .workers = std::move(names),
                                             .timeout = work + m_settings.advisorTimeoutMargin });
}

void JobScheduler::permitsAnswered(Moment at, const TaskKey &key,
                                   const std::vector<std::pair<WorkerName, std::string>> *allowed,
                                   Duration validity)
{
    m_permitRequestsInFlight -= std::min<std::size_t>(m_permitRequestsInFlight, 1);
    const TaskRef task = m_jobs.find(key);
    note("permits-answered", { .task = key, .run = {} }, nullptr,
         allowed == nullptr ? "outcome=unanswered" : "good=" + std::to_string(allowed->size()));
    m_placementDue = true;
    // The queue may have lost its policy, or got it back, since the request was sent.
    if (!task || task.step->knownPermits == nullptr)
        return;
    const std::optional<AdvicePolicy> &advice = task.step->job->advice;
    if (allowed == nullptr)
        task.step->knownPermits->requestFailed(at.now);
    else if (validity > Duration {} || !advice)
        task.step->knownPermits->requestAnswered(at.now, *allowed, validity);
    else
        task.step->knownPermits->requestAnswered(at.now, *allowed, advice->validity);
}

bool JobScheduler::placeGang(Timestamp now, Step *step, PlacementMode mode)
{
    // The gang waits until all its unfinished members are ready.
    if (step->ready.size() < step->remainingTasks)
        return true;
    const bool hasTrials = std::ranges::any_of(
            step->ready, [&](std::uint32_t it) { return step->tasks[it].crashes().isSuspect(); });
    if (hasTrials && isRecordOverdue(now))
        return false;
    std::set<RackName> racks;
    if (step->spec->sameRack) {
        for (const auto &[id, worker] : m_workers.all())
            racks.insert(worker->life.rack);
    }
    for (const RackName &it : racks) {
        if (placeGang(now, step, &it, mode))
            return true;
    }
    return placeGang(now, step, nullptr, mode);
}

bool JobScheduler::placeGang(Timestamp now, Step *step, const RackName *rack, PlacementMode mode)
{
    // The gang is placed as a whole or not at all: starts of an incomplete gang are undone before
    // any command is sent.
    RunNumber number;
    for (const Task &it : step->tasks)
        number = std::max(number, nextRunNumber(it));
    /// A member that has begun, and what its start replaced.
    struct Member
    {
        TaskRef task;
        RunNumber lastRun;
        Worker *worker = nullptr;
        Worker::OrderState before;
    };
    const std::size_t commandsBefore = m_commands.size();
    const JobSchedulerCounts countsBefore = m_counts;
    const RackName rackBefore = step->rack;
    const Timestamp waitingSince = step->waitingSince;
    std::vector<Member> begun;
    std::vector<std::uint32_t> members(step->ready.begin(), step->ready.end());
    // The trials come first: another member on the same worker would keep it from having one.
    std::stable_partition(members.begin(), members.end(),
                          [&](std::uint32_t it) { return step->tasks[it].crashes().isSuspect(); });
    for (const std::uint32_t it : members) {
        const TaskRef task { .step = step, .task = it };
        const CrashHistory &crashes = task.get().crashes();
        const bool isTrial = crashes.isSuspect();
        Worker *worker =
                isTrial ? nullptr : m_placer.choose(now, m_workers, *step, task.get(), rack, mode);
        // A member may also join a trial of its own gang: only their job is at stake.
        if (worker == nullptr)
            worker = m_placer.chooseForTrial(
                    now, m_workers, *step,
                    isolationTime(task.get(), now - std::max(waitingSince, m_tenureBeganAt)), rack,
                    mode, !isTrial);
        if (worker == nullptr) {
            if (isTrial)
                m_unplacedTrials.push_back(step);
            break;
        }
        begun.push_back({ .task = task,
                          .lastRun = task.get().record().lastRun,
                          .worker = worker,
                          .before = worker->orderState() });
        if (isTrial)
            beginTrial(now, task, worker, number, mode);
        else
            startRun(now, task, worker, number, mode);
    }
    if (begun.size() == step->ready.size()) {
        for (const Member &it : begun)
            it.task.get().isReady = false;
        step->ready.clear();
        m_order.erase(step);
        return true;
    }
    const bool marksPairs = mode == PlacementMode::Overdue && step->spec->fills && !begun.empty();
    // Backwards, since several members may have begun on one worker.
    for (; !begun.empty(); begun.pop_back()) {
        const Member &it = begun.back();
        undoExposure({ .task = it.task, .slot = 0 });
        releaseRun(now, { .task = it.task, .slot = 0 });
        it.task.ensureRecord().lastRun = it.lastRun;
        it.worker->restore(it.before);
        m_gaps.withdrawn(now, *it.worker, *step);
    }
    if (marksPairs)
        updateOverdueStarts(now);
    step->rack = rackBefore;
    step->waitingSince = waitingSince;
    m_commands.erase(m_commands.begin() + static_cast<std::ptrdiff_t>(commandsBefore),
                     m_commands.end());
    m_counts = countsBefore;
    requestPermits(now, step);
    return false;
}

void JobScheduler::startSpeculativeCopies(Timestamp now)
{
    if (m_isFenced || m_isTakingOver || isRecordOverdue(now))
        return;
    std::vector<std::pair<TaskRef, Worker *>> late;
    for (const auto &[id, worker] : m_workers.all()) {
        for (const RunRef &it : worker->runs) {
            const Step &step = *it.task.step;
            const Task &task = it.task.get();
            const bool mayCopy = step.spec->speculative && !step.spec->gang
                    && !task.crashes().isSuspect() && step.job->phase == JobPhase::Active
                    && it.get().phase == RunPhase::Running
                    && !task.record().runs[0].exists() != !task.record().runs[1].exists();
            if (!mayCopy || std::size_t { 2 } * step.doneCount < step.tasks.size())
                continue;
            const Duration bound = step.longestTaskTime * m_settings.copyAfterPercent / wholePercent
                    + minCopyDelay;
            if (now - it.get().startedAt > bound)
                late.emplace_back(it.task, worker.get());
        }
    }
    for (const auto &[task, worker] : late) {
        const RunNumber number = nextRunNumber(task.get());
        // The task may have crashed a silent worker, so its copy is a trial.
        const bool isTrial = worker->unansweredRenewals > 0;
        if (isTrial && isRecordOverdue(now))
            continue;
        const Duration length = task.get().crashes().trialLength(m_settings.crashes);
        Worker *other = isTrial ? m_placer.chooseForTrial(now, m_workers, *task.step, length,
                                                          nullptr, PlacementMode::Usual)
                                : m_placer.choose(now, m_workers, *task.step, task.get());
        if (other == nullptr || other == worker)
            continue;
        ++m_counts.copies;
        note("copy-started", { .task = task.key(), .run = number }, other,
             "slow=" + worker->life.name.value);
        if (isTrial)
            beginTrial(now, task, other, number, PlacementMode::Usual);
        else
            startRun(now, task, other, number);
    }
}

} // namespace acaciafork::jobs
