#include <algorithm>

#include "acaciafork/decisions/jobs/JobScheduler.h"

// Cautious backfill: bounded exploratory starts, and estimates from the changes of tail latencies.

namespace acaciafork::jobs {
namespace {

/// A reading this soon after a start still shows the time before it.
constexpr Duration beforeStart = std::chrono::milliseconds(200);
/// A jump within this time after a start is due to it: three readings and the way of the order.
constexpr Duration jumpWindow = std::chrono::milliseconds(1700);
/// Increase that the own load doesn't show within that time (at most 0.2, and noise of 0.05).
constexpr double jumpGrowth = 0.35;
/// Deviation of an increase: the noise of two readings, and what the own load may add a second.
constexpr double growthNoise = 0.07;
constexpr double driftPerSecond = 0.06;
/// The same without a base: the ratio without interference lies between 0.28 and 0.8.
constexpr double unknownBase = 0.5;
constexpr double unknownBaseDeviation = 0.3;
/// Share of the target below which a tail latency is kept.
constexpr double safeRatio = 0.85;
/// Changes of a share below this are not ordered, and it is raised by no more, in percent points.
constexpr std::int64_t minChange = 5;
constexpr std::int64_t raiseStep = 10;

bool mayInterfere(const RunRef &ref)
{
    const RunPhase phase = ref.get().phase;
    return ref.task.step->spec->fills
            && (phase == RunPhase::Running || phase == RunPhase::Starting);
}

bool hasTail(const RunRef &ref)
{
    const Run &run = ref.get();
    const StepSpec &spec = *ref.task.step->spec;
    return spec.serves() && !spec.fills && spec.tailTarget > Duration {} && run.load >= 0
            && run.phase == RunPhase::Running;
}

/// Processor time that a backfill run uses, as a share of the worker: what it may use while its own
/// reading lags.
double shareInUse(const Worker &worker, const RunRef &ref)
{
    const std::int64_t allowed =
            ref.task.step->spec->size.millicores * ref.get().percent / wholePercent;
    return shareOf(worker, std::max(ref.get().load, allowed));
}

} // namespace

void JobScheduler::explorePairs(Timestamp now, Worker *worker, const RunRef &run)
{
    const batch::Index filling = run.task.step->image;
    bool explores = false;
    m_exploration.expire(now);
    for (const auto &[serving, count] : worker->servedImages) {
        if (m_interference.stateOf(serving, filling) != PairState::Unknown)
            continue;
        explores = true;
        m_exploration.begin(now, worker->id, serving, filling);
    }
    if (!explores)
        return;
    ++m_counts.exploringStarts;
    // One list shows the readings before the start; the next one comes when they tell of it.
    worker->immediateRenewalAt = std::min(worker->immediateRenewalAt, now);
}

void JobScheduler::countHeldBack(Step *step)
{
    if (step->wasHeldBack || !m_settings.cautiousBackfill || !step->spec->fills
        || !m_exploration.isExplored(step->image))
        return;
    step->wasHeldBack = true;
    m_counts.heldBackStarts += step->ready.size();
}

void JobScheduler::neighbourGone(Timestamp now, const Worker &worker, const Step &step)
{
    for (const RunRef &it : worker.runs) {
        if (!hasTail(it)
            || m_interference.stateOf(it.task.step->image, step.image) == PairState::Harmless)
            continue;
        it.get().tail.neighbourGone(now);
        if (it.get().tail.isSettling(now) && !m_exploration.isExploring(worker.id))
            m_exploration.block(now, worker.id, TailTracker::maxDecay);
    }
}

void JobScheduler::blameStart(Timestamp now, const Worker &worker, const RunRef &serving,
                              const RunRef &filling, double share)
{
    const batch::Index victim = serving.task.step->image;
    const batch::Index image = filling.task.step->image;
    const double growth = serving.get().tail.growth(now);
    const bool wasHarmful = m_interference.stateOf(victim, image) == PairState::Harmful;
    m_interference.learnAtLeast(victim, image, share, growth);
    if (m_interference.stateOf(victim, image) != PairState::Unknown)
        m_exploration.settle(victim, image);
    // Several serving runs of an image beside the task show the same.
    if (wasHarmful)
        return;
    ++m_counts.harmfulStarts;
    note("backfill-interferes", filling.key(), &worker,
         "image=" + filling.task.step->spec->image + " serving=" + serving.task.step->spec->image
                 + " growth-percent="
                 + std::to_string(static_cast<std::int64_t>(growth * wholePercent)));
}

void JobScheduler::learnFromTail(Timestamp now, const Worker &worker, const RunRef &serving)
{
    TailTracker &tail = serving.get().tail;
    if (tail.isSettling(now))
        return;
    const batch::Index victim = serving.task.step->image;
    // The newest neighbour, and the newest one whose image is not known beside this one.
    const RunRef *newest = nullptr;
    const RunRef *explorer = nullptr;
    bool severalImages = false;
    std::vector<batch::CoRunner> suspects;
    bool hasHarmful = false;
    bool hasUnknown = false;
    for (const RunRef &it : worker.runs) {
        if (!mayInterfere(it))
            continue;
        const auto isLater = [&](const RunRef *other) {
            return other == nullptr || it.get().startedAt > other->get().startedAt;
        };
        const PairState state = m_interference.stateOf(victim, it.task.step->image);
        if (state == PairState::Unknown && isLater(explorer))
            explorer = &it;
        if (isLater(newest))
            newest = &it;
        // What is not known explains an increase better than what is known as harmless.
        hasHarmful = hasHarmful || state == PairState::Harmful;
        const bool isUnknown = state == PairState::Unknown;
        if (isUnknown && !hasUnknown)
            suspects.clear();
        hasUnknown = hasUnknown || isUnknown;
        if (isUnknown != hasUnknown)
            continue;
        const auto inUse = static_cast<float>(shareInUse(worker, it));
        const auto known =
                std::ranges::find(suspects, it.task.step->image, &batch::CoRunner::family);
        if (known != suspects.end())
            known->count += inUse;
        else
            suspects.push_back({ .family = it.task.step->image, .count = inUse });
    }
    if (newest == nullptr) {
        tail.rebase(now);
        return;
    }
    const RunRef &first = explorer == nullptr ? *newest : *explorer;
    const Duration since = now - first.get().startedAt;
    const double growth = tail.growth(now);
    const bool isJump = growth >= jumpGrowth;
    if (since < beforeStart) {
        if (!isJump)
            tail.rebase(now);
        return;
    }
    double share = 0;
    for (const RunRef &it : worker.runs) {
        if (!mayInterfere(it) || now - it.get().startedAt > jumpWindow)
            continue;
        severalImages = severalImages
                || (it.task.step->image != first.task.step->image && explorer == nullptr);
        if (it.task.step->image == first.task.step->image)
            share += shareInUse(worker, it);
    }
    share = std::max(share, shareInUse(worker, first));
    if (share <= 0)
        return;
    // A start of a harmless image doesn't explain what a harmful neighbour does.
    const bool isInnocent = hasHarmful
            && m_interference.stateOf(victim, first.task.step->image) == PairState::Harmless;
    if (isJump && since <= jumpWindow && !severalImages && !isInnocent) {
        blameStart(now, worker, serving, first, share);
        return;
    }
    if (since < TailTracker::settleTime)
        return;
    if (isJump) {
        // The pressure of a neighbour has changed, or the serving run has come to it. A neighbour
        // known as harmful explains the increase; of several others, each is explored again.
        if (!hasHarmful && suspects.size() == 1)
            m_interference.observe(victim, growth, suspects);
        else if (!hasHarmful)
            for (const batch::CoRunner &it : suspects)
                m_interference.doubt(victim, it.family);
        return;
    }
    if (explorer == nullptr) {
        tail.rebase(now);
        return;
    }
    // A task that still loads its image interferes with nothing yet.
    const std::int64_t load = first.get().load;
    const std::int64_t allowed =
            first.task.step->spec->size.millicores * first.get().percent / wholePercent;
    if (load < allowed / 2 && (load <= 0 || since < jumpWindow))
        return;
    const double age = std::chrono::duration<double>(tail.baseAge(now)).count();
    if (tail.hasBase(now))
        m_interference.learn(victim, first.task.step->image, share, growth,
                             growthNoise + driftPerSecond * age);
    else
        m_interference.learn(victim, first.task.step->image, share, tail.ratio() - unknownBase,
                             unknownBaseDeviation);
    if (m_interference.stateOf(victim, first.task.step->image) != PairState::Unknown)
        m_exploration.settle(victim, first.task.step->image);
}

bool JobScheduler::isUnknownBeside(const Worker &worker, const RunRef &filling) const
{
    return std::ranges::any_of(worker.servedImages, [&](const auto &it) {
        return m_interference.stateOf(it.first, filling.task.step->image) == PairState::Unknown;
    });
}

std::int64_t JobScheduler::allowedPercent(Timestamp now, const Worker &worker,
                                          const RunRef &filling) const
{
    std::int64_t allowed = wholePercent;
    const double share = shareOf(worker, *filling.task.step->spec);
    for (const RunRef &it : worker.runs) {
        const batch::Index victim = it.task.step->image;
        if (!hasTail(it)
            || m_interference.stateOf(victim, filling.task.step->image) != PairState::Harmful)
            continue;
        const double expected = m_interference.expected(victim, filling.task.step->image, share);
        const double room = std::max(safeRatio - it.get().tail.base(now), 0.0);
        allowed = std::min(allowed, static_cast<std::int64_t>(room / expected * wholePercent));
    }
    return allowed;
}

void JobScheduler::limitHarmfulRuns(Timestamp now, Worker *worker)
{
    bool isInDanger = false;
    bool isSafe = true;
    for (const RunRef &it : worker->runs) {
        if (!hasTail(it))
            continue;
        const TailTracker &tail = it.get().tail;
        isInDanger = isInDanger || (tail.ratio() > 1 && !tail.decaysAsExpected(now));
        isSafe = isSafe && tail.ratio() < safeRatio && !tail.isSettling(now);
    }
    std::vector<RunRef> runs = worker->runs;
    std::erase_if(runs, [](const RunRef &it) {
        return !it.task.step->spec->fills || it.get().phase != RunPhase::Running;
    });
    std::ranges::sort(runs, std::greater {}, [](const RunRef &it) { return it.get().startedAt; });
    // Where no neighbour is known as harmful, the newest of those that are not known is slowed.
    const bool isExplained = std::ranges::any_of(runs, [&](const RunRef &it) {
        return allowedPercent(now, *worker, it) < wholePercent;
    });
    bool mayDoubt = isInDanger && !isExplained;
    for (const RunRef &it : runs) {
        Run &run = it.get();
        std::int64_t percent = allowedPercent(now, *worker, it);
        if (mayDoubt && isUnknownBeside(*worker, it)
            && run.percent > m_settings.throttle.minPercent) {
            mayDoubt = false;
            percent = std::min(percent, run.percent / 2);
        }
        if (isInDanger && percent < m_settings.throttle.minPercent && !run.isOverdue
            && stopByChoice(now, it, "disturbs"))
            return;
        if (run.isOverdue)
            percent = std::min(percent, m_placer.acceptablePercent(*worker, nullptr));
        percent = std::min(std::max(percent, m_settings.throttle.minPercent),
                           worker->backfillPercent);
        if (percent <= run.percent - minChange) {
            orderPace(now, *worker, it, percent);
            neighbourGone(now, *worker, *it.task.step);
        } else if (percent >= run.percent + minChange && isSafe
                   && now - run.pacedAt >= m_settings.throttle.increaseInterval) {
            orderPace(now, *worker, it, std::min(percent, run.percent + raiseStep));
        }
    }
}

void JobScheduler::raisePercent(Timestamp now, Worker *worker)
{
    std::vector<TailReading> tails;
    for (const RunRef &it : worker->runs) {
        const StepSpec &spec = *it.task.step->spec;
        if (hasTail(it))
            tails.push_back({ .image = spec.image,
                              .tailMs = it.get().load,
                              .targetMs = spec.tailTarget / std::chrono::milliseconds(1) });
    }
    const std::int64_t before = worker->backfillPercent;
    const std::int64_t percent = m_throttle.decide(now, before, worker->pacedAt, tails);
    if (percent <= before)
        return;
    worker->backfillPercent = percent;
    worker->pacedAt = now;
    note("tasks-paced", {}, worker,
         "from=" + std::to_string(before) + " to=" + std::to_string(percent));
}

void JobScheduler::throttleCautiously(Timestamp now, Worker *worker)
{
    bool hasNew = false;
    m_exploration.expire(now);
    for (const RunRef &it : worker->runs) {
        if (!hasTail(it))
            continue;
        Run &run = it.get();
        const std::int64_t targetMs = it.task.step->spec->tailTarget / std::chrono::milliseconds(1);
        observeTarget(now, targetMs, &run);
        if (!run.tail.observe(now, static_cast<double>(run.load) / static_cast<double>(targetMs)))
            continue;
        hasNew = true;
        learnFromTail(now, *worker, it);
    }
    if (worker->backfillMillicores == 0) {
        worker->backfillPercent = wholePercent;
        return;
    }
    if (m_exploration.isExploring(worker->id))
        worker->immediateRenewalAt =
                std::min(worker->immediateRenewalAt, now + TailTracker::readingSpan);
    repeatLostPaces(now, *worker);
    movePausedRuns(now, *worker);
    if (pauseIfOverTarget(now, worker) || !hasNew)
        return;
    if (worker->backfillPercent < wholePercent)
        raisePercent(now, worker);
    if (worker->backfillPercent > 0)
        limitHarmfulRuns(now, worker);
}

} // namespace acaciafork::jobs
