#include "acaciafork/decisions/jobs/Placer.h"

#include <algorithm>
#include <tuple>

namespace acaciafork::jobs {
namespace {

/// Scores are shares of a worker's processor capacity; these penalties outweigh any share.
constexpr double wrongRackPenalty = 4;
constexpr double failedHerePenalty = 16;
/// Other workers with free capacity are preferred to those where interference with serving tasks is
/// possible.
constexpr double unknownInterferencePenalty = 0.3;
constexpr double interferencePenalty = 2;
/// A worker that serves a single image is unsuitable only for the few backfill images that
/// interfere with it; it stays open to all others.
constexpr double sameImageBonus = 2;
constexpr double otherImagePenalty = 2;
/// Once it is known which backfill images a serving image excludes, workers that lose nothing by it
/// come first. Outweighs emptiness() where a quarter of the demand is displaced.
constexpr double displacedDemandPenalty = 4;
/// Share of a worker that one backfill task uses, and share of the demand that has to be known.
constexpr double usualTaskShare = 0.1;
constexpr double minKnownDemand = 0.5;
/// Increase of a tail latency by one usual task up to which a pair counts as harmless, whatever the
/// number of tasks: estimates of harmless pairs vary by as much.
constexpr double maxBorneInterference = 0.2;
/// On a worker that is open to blocked backfill images, serving tasks that bear them come before
/// those that use an empty worker, and those that do not come only where nothing else fits.
constexpr double bearingServingBonus = 3;
constexpr double excludingServingPenalty = 10;
/// For a task whose whole estimate falls into the time in which the worker is cold. Outweighs
/// differences in unused processor time, and is below the penalty for another rack, where each run
/// of the task takes longer.
constexpr double wholeRunColdPenalty = 2;

/// For a step whose last start failed. Outweighs another rack once the worker has confirmed no
/// start for about as long as the half-life.
constexpr double maxUnconfirmedPenalty = 16;
constexpr Duration unconfirmedHalfLife = std::chrono::seconds(1);

/// Part of that penalty that differs at random between workers.
constexpr double unconfirmedSpread = 0.25;

/// Pseudo-random number from 0 to 1 for a worker and an attempt.
double shuffle(WorkerId worker, std::uint32_t attempt)
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15U;
    constexpr std::uint64_t multiplier = 0xbf58476d1ce4e5b9U;
    std::uint64_t n = (static_cast<std::uint64_t>(attempt) << 32U | worker.value) * goldenRatio;
    n = (n ^ (n >> 30U)) * multiplier;
    return static_cast<double>(n >> 32U) / static_cast<double>(UINT32_MAX);
}

/// Free processor capacity at which emptiness() is half; about half of a worker.
constexpr double halfEmptyMillicores = 16'000;

/// Grows with the free reserved processor capacity of a worker, from 0 to 1 whatever its size, so
/// that penalties outweigh it.
double emptiness(const Worker &worker)
{
    const auto free =
            static_cast<double>(std::max<std::int64_t>(worker.freeCapacity().millicores, 0));
    return free / (free + halfEmptyMillicores);
}

bool hasLabel(const WorkerLife &life, const std::string &label)
{
    return label.empty() || std::ranges::find(life.labels, label) != life.labels.end();
}

/// Whether a worker runs serving tasks, and its number of runs: the cost of a crash in a trial.
std::pair<bool, std::size_t> loadForTrial(const Worker &worker)
{
    return { worker.servingMillicores > 0, worker.runs.size() };
}

/// Order of the workers for a trial; the lowest comes first.
using TrialRank = std::pair<std::pair<bool, std::size_t>, double>;

TrialRank rankForTrial(const Worker &worker, double score)
{
    return { loadForTrial(worker), -score };
}

/// True when a trial of the step may begin on the worker: it has confirmed each run of other steps,
/// all began longer than `length` ago, and it is not kept for another step.
bool isFreeForTrial(Timestamp now, const Worker &worker, const Step &step, Duration length)
{
    if (now < worker.reservedUntil && worker.reservedFor != step.key(0))
        return false;
    return std::ranges::all_of(worker.runs, [&](const RunRef &it) {
        const Run &run = it.get();
        return it.task.step == &step
                || (run.confirmedAt != Timestamp {} && now - run.startedAt > length
                    && std::ranges::find(worker.trials, it.key()) == worker.trials.end());
    });
}

/// Processor time that throttled and paused backfill tasks leave to others.
std::int64_t throttledMillicores(const Worker &worker)
{
    std::int64_t sum = 0;
    for (const RunRef &it : worker.runs) {
        const StepSpec &spec = *it.task.step->spec;
        if (spec.fills)
            sum += spec.size.millicores * (wholePercent - it.get().percent) / wholePercent;
    }
    return sum;
}

} // namespace

bool Placer::isUsable(Timestamp now, const Worker &worker) const
{
    return isReachable(now, worker) && worker.trials.empty() && now >= worker.reservedUntil;
}

bool Placer::isReachable(Timestamp now, const Worker &worker) const
{
    return isInTouch(now, worker) && !isInClosedZone(worker);
}

bool Placer::isInTouch(Timestamp now, const Worker &worker) const
{
    return worker.isRecorded && worker.isKnown && !worker.life.draining && worker.lease.isKnown()
            && worker.unansweredRenewals == 0 && now >= worker.avoidUntil
            && now - worker.lastHeardAt < m_settings.maxSilence && !worker.awaitsReport
            && worker.strayRunsUntil == Worker::distantPast()
            && (worker.guardsCapacity || now - worker.lastReportedAt < m_settings.maxReportAge);
}

bool Placer::canEverFit(const Worker &worker, const Step &step)
{
    return worker.life.pool == step.job->pool && hasLabel(worker.life, step.spec->label)
            && step.spec->reserved().fitsIn(worker.life.capacity);
}

PlacementObstacle Placer::findObstacle(Timestamp now, const Worker &worker, const Step &step) const
{
    if (worker.life.pool == step.job->pool && isInClosedZone(worker))
        return PlacementObstacle::ClosedZone;
    if (worker.life.pool == step.job->pool && !isUsable(now, worker))
        return reasonNotUsable(now, worker);
    const PlacementObstacle obstacle = findObstacle(worker, step, PlacementMode::Usual);
    if (obstacle == PlacementObstacle::None && step.permits() != nullptr
        && step.permits()->find(worker, now) == nullptr)
        return PlacementObstacle::Permit;
    if (obstacle == PlacementObstacle::None && m_limits.gaps != nullptr
        && m_limits.gaps->isClosedTo(now, worker, step))
        return PlacementObstacle::Kept;
    return obstacle;
}

PlacementObstacle Placer::reasonNotUsable(Timestamp now, const Worker &worker) const
{
    if (worker.unansweredRenewals > 0 || now - worker.lastHeardAt >= m_settings.maxSilence)
        return PlacementObstacle::Silent;
    if (now < worker.avoidUntil)
        return PlacementObstacle::Avoided;
    if (!worker.trials.empty() || now < worker.reservedUntil)
        return PlacementObstacle::OnTrial;
    return PlacementObstacle::NotUsable;
}

PlacementObstacle Placer::findObstacle(const Worker &worker, const Step &step,
                                       PlacementMode mode) const
{
    const StepSpec &spec = *step.spec;
    if (worker.life.pool != step.job->pool)
        return PlacementObstacle::OtherPool;
    if (!hasLabel(worker.life, spec.label))
        return PlacementObstacle::Label;
    const Size reserved = spec.reserved();
    const Size free = worker.freeCapacity();
    if (reserved.millicores > free.millicores)
        return PlacementObstacle::Processor;
    if (reserved.memoryMb > free.memoryMb)
        return PlacementObstacle::Memory;
    if (reserved.accelerators > free.accelerators)
        return PlacementObstacle::Accelerators;
    // Whatever the cause is, more load prolongs it.
    if (spec.fills && worker.isTailInDanger)
        return PlacementObstacle::Throttled;
    if (spec.fills && mode == PlacementMode::Overdue) {
        if (worker.unusedMillicores() + throttledMillicores(worker) + overcommit(worker, step) <= 0)
            return PlacementObstacle::Processor;
        if (worker.backfillPercent == 0)
            return PlacementObstacle::Paused;
        // The members of a gang start together and count as one start.
        if (m_limits.overdue != nullptr && !spec.gang
            && !m_limits.overdue->mayStart(worker, step.image) && !mayStartSlowly(worker, step))
            return PlacementObstacle::Throttled;
        // Even at their lowest shares, several tasks may disturb more than one may.
        const double others = overdueInterference(worker, &step);
        const double lowest = (others + expectedInterference(worker, step))
                * static_cast<double>(m_settings.minOverduePercent) / wholePercent;
        if (others > 0 && lowest > m_settings.maxInterference)
            return PlacementObstacle::Interference;
    } else if (spec.fills) {
        // Backfill tasks share the unused processor time; at least half of what the task asks for
        // must be available.
        if (worker.unusedMillicores() < spec.size.millicores / 2)
            return PlacementObstacle::Processor;
        const double bound = m_limits.exploration == nullptr ? m_settings.maxInterference
                                                             : m_settings.maxKnownInterference;
        if (expectedInterference(worker, step) > bound || isHarmful(worker, step))
            return PlacementObstacle::Interference;
        if (isHeldBack(worker, step))
            return PlacementObstacle::Exploring;
        if (worker.backfillPercent == 0)
            return PlacementObstacle::Paused;
        if (worker.backfillPercent < wholePercent && !isHarmless(worker, step))
            return PlacementObstacle::Throttled;
    }
    if (spec.maxPerWorker > 0 && worker.runsOf(&step) >= spec.maxPerWorker)
        return PlacementObstacle::Spread;
    return PlacementObstacle::None;
}

bool Placer::mayStartSlowly(const Worker &worker, const Step &step) const
{
    if (step.acceptedInterference <= 0 || worker.backfillPercent < wholePercent)
        return false;
    const bool isObserved = std::ranges::all_of(worker.servedImages, [&](const auto &it) {
        return m_interference->isObserved(it.first, step.image);
    });
    const double expected = overdueInterference(worker) + expectedInterference(worker, step);
    const double lowest =
            expected * static_cast<double>(lowestPercent(expected, mayBeSlow(step))) / wholePercent;
    return isObserved && lowest <= step.acceptedInterference;
}

std::int64_t Placer::lowestPercent(double expected, bool isSlow) const
{
    const double allowed = m_settings.maxSlowInterference * wholePercent;
    const std::int64_t usual = m_settings.minOverduePercent;
    if (!isSlow || expected * static_cast<double>(usual) <= allowed)
        return usual;
    return std::max(static_cast<std::int64_t>(allowed / expected), m_settings.minSlowPercent);
}

std::int64_t Placer::overcommit(const Worker &worker, const Step &step) const
{
    if (m_limits.overdue == nullptr || m_limits.overdue->isLimited(worker.life.pool)
        || !isHarmless(worker, step))
        return 0;
    return worker.life.capacity.millicores;
}

bool Placer::excludes(batch::Index serving, batch::Index filling) const
{
    return m_interference->expected(serving, filling, usualTaskShare) > m_settings.maxInterference;
}

void Placer::updateExclusions(batch::Index serving) const
{
    const std::uint64_t version = m_limits.demand->version();
    if (m_exclusions.serving == serving && m_exclusions.demandVersion == version)
        return;
    m_exclusions.serving = serving;
    m_exclusions.demandVersion = version;
    m_exclusions.images.clear();
    double known = 0;
    for (const BackfillDemand::ImageShare &it : m_limits.demand->images()) {
        if (!m_interference->isObserved(serving, it.image))
            continue;
        known += it.share;
        if (excludes(serving, it.image))
            m_exclusions.images.push_back(it);
    }
    m_exclusions.isKnown = known > minKnownDemand;
}

std::optional<double> Placer::displacedDemand(const Worker &worker, const Step &step) const
{
    if (m_limits.demand == nullptr)
        return {};
    updateExclusions(step.image);
    if (!m_exclusions.isKnown)
        return {};
    double displaced = 0;
    for (const BackfillDemand::ImageShare &it : m_exclusions.images) {
        const bool isExcluded = std::ranges::any_of(worker.servedImages, [&](const auto &served) {
            return excludes(served.first, it.image);
        });
        displaced += isExcluded ? 0 : it.share;
    }
    return displaced;
}

bool Placer::bears(batch::Index serving, batch::Index filling) const
{
    return m_interference->expected(serving, filling, usualTaskShare) <= maxBorneInterference;
}

double Placer::openWorkerPenalty(const Worker &worker, const Step &step) const
{
    if (worker.openTo.empty())
        return 0;
    if (step.spec->fills) {
        const bool isOpen = std::ranges::find(worker.openTo, step.image) != worker.openTo.end();
        return isOpen ? 0 : otherImagePenalty;
    }
    if (!step.spec->serves())
        return 0;
    const bool bearsAll = std::ranges::all_of(
            worker.openTo, [&](batch::Index it) { return bears(step.image, it); });
    return bearsAll ? -bearingServingBonus : excludingServingPenalty;
}

double Placer::colocationBonus(const Worker &worker, const Step &step) const
{
    if (const std::optional<double> displaced = displacedDemand(worker, step)) {
        const std::int64_t forBackfill = worker.unusedMillicores() + worker.backfillMillicores;
        return -displacedDemandPenalty * *displaced
                * shareOf(worker, std::max<std::int64_t>(forBackfill, 0));
    }
    if (worker.servedImages.empty())
        return 0;
    const bool sameOnly =
            worker.servedImages.size() == 1 && worker.servedImages.front().first == step.image;
    return sameOnly ? sameImageBonus : -otherImagePenalty;
}

bool Placer::isHarmless(const Worker &worker, const Step &step) const
{
    const double share = shareOf(worker, *step.spec);
    return std::ranges::all_of(worker.servedImages, [&](const auto &it) {
        return m_interference->isHarmless(it.first, step.image, share);
    });
}

bool Placer::isHarmful(const Worker &worker, const Step &step) const
{
    const double share = shareOf(worker, *step.spec);
    return std::ranges::any_of(worker.servedImages, [&](const auto &it) {
        const PairState state = m_interference->stateOf(it.first, step.image);
        return state == PairState::Harmful
                || (state == PairState::Harmless
                    && m_interference->expected(it.first, step.image, share)
                            > m_settings.maxKnownInterference);
    });
}

bool Placer::isHeldBack(const Worker &worker, const Step &step) const
{
    if (m_limits.exploration == nullptr || !step.spec->fills)
        return false;
    return std::ranges::any_of(worker.servedImages, [&](const auto &it) {
        return m_interference->stateOf(it.first, step.image) == PairState::Unknown
                && !m_limits.exploration->mayExplore(worker.id, it.first, step.image);
    });
}

double Placer::expectedInterference(const Worker &worker, const Step &step) const
{
    double worst = 0;
    if (step.spec->fills) {
        const double share = shareOf(worker, *step.spec);
        for (const auto &[image, count] : worker.servedImages)
            worst = std::max(worst, m_interference->expected(image, step.image, share));
        return worst;
    }
    for (const RunRef &it : worker.runs) {
        const Step &other = *it.task.step;
        if (other.spec->fills)
            worst = std::max(worst,
                             m_interference->expected(step.image, other.image,
                                                      shareOf(worker, *other.spec)));
    }
    return worst;
}

double Placer::overdueInterference(const Worker &worker, const Step *except) const
{
    double sum = 0;
    for (const RunRef &it : worker.runs) {
        if (it.get().isOverdue && it.task.step != except)
            sum += expectedInterference(worker, *it.task.step);
    }
    return sum;
}

std::int64_t Placer::acceptablePercent(const Worker &worker, const Step *added) const
{
    const double expected = overdueInterference(worker)
            + (added == nullptr ? 0 : expectedInterference(worker, *added));
    if (expected <= m_settings.maxOverdueInterference)
        return wholePercent;
    const double percent = m_settings.maxOverdueInterference / expected * wholePercent;
    const bool isSlow = (added != nullptr && mayBeSlow(*added))
            || std::ranges::any_of(worker.runs, [](const RunRef &it) { return it.get().isSlow; });
    return std::max(static_cast<std::int64_t>(percent), lowestPercent(expected, isSlow));
}

double Placer::unconfirmedPenalty(Timestamp now, const Worker &worker, const Step &step)
{
    if (step.failedStarts == 0)
        return 0;
    if (worker.failedStarts > 0)
        return 2 * maxUnconfirmedPenalty;
    const auto age = static_cast<double>((now - worker.startConfirmedAt).count());
    const double penalty =
            maxUnconfirmedPenalty * age / (age + static_cast<double>(unconfirmedHalfLife.count()));
    // Breaks ties between workers that have confirmed no start, in another order at each attempt.
    return penalty * (1 - unconfirmedSpread * shuffle(worker.id, step.failedStarts));
}

double Placer::coldPenalty(Timestamp now, const Worker &worker, const StepSpec &spec) const
{
    if (!m_settings.prefersWarmWorkers || spec.fills || worker.warmAt <= now)
        return 0;
    const Duration cold = worker.warmAt - now;
    if (cold >= spec.estimate)
        return wholeRunColdPenalty;
    return wholeRunColdPenalty * static_cast<double>(cold.count())
            / static_cast<double>(spec.estimate.count());
}

double Placer::score(Timestamp now, const Worker &worker, const Step &step) const
{
    const StepSpec &spec = *step.spec;
    const double left = shareOf(worker, worker.unusedMillicores());
    double score = 0;
    if (spec.fills)
        score = left - (isHarmless(worker, step) ? 0 : unknownInterferencePenalty);
    else if (spec.serves())
        score = colocationBonus(worker, step) - (m_settings.bestFit ? emptiness(worker) : left);
    else
        score = m_settings.bestFit ? -emptiness(worker) : left;
    score -= openWorkerPenalty(worker, step);
    if (spec.fills || spec.serves())
        score -= interferencePenalty * expectedInterference(worker, step);
    if (!spec.dataRack.value.empty() && worker.life.rack != spec.dataRack)
        score -= wrongRackPenalty;
    if (spec.sameRack && !step.rack.value.empty() && worker.life.rack != step.rack)
        score -= wrongRackPenalty;
    if (worker.consecutiveFailures >= m_settings.suspectAfterFailures)
        score -= failedHerePenalty;
    score -= coldPenalty(now, worker, spec);
    score -= unconfirmedPenalty(now, worker, step);
    return score;
}

double Placer::taskPenalty(const Worker &worker, const Task &task)
{
    return task.record().lastFailedWorker == worker.id ? failedHerePenalty : 0;
}

Worker *Placer::choose(Timestamp now, const WorkerTable &workers, const Step &step,
                       const Task &task, const RackName *rack, PlacementMode mode) const
{
    Worker *best = nullptr;
    double bestScore = 0;
    bool isBestHeldBack = false;
    for (const auto &it : workers.all()) {
        Worker *worker = it.second.get();
        if (!isUsable(now, *worker) || findObstacle(*worker, step, mode) != PlacementObstacle::None)
            continue;
        if (rack != nullptr && worker->life.rack != *rack)
            continue;
        if (step.permits() != nullptr && step.permits()->find(*worker, now) == nullptr)
            continue;
        // A speculative copy must run on a different worker than the first run.
        const bool runsHere = std::ranges::any_of(task.record().runs, [&](const Run &run) {
            return run.exists() && run.worker == worker->id;
        });
        if (runsHere || turnsAway(now, *worker, step))
            continue;
        double value = score(now, *worker, step) - taskPenalty(*worker, task);
        if (mode == PlacementMode::Overdue)
            value -= interferencePenalty * overdueInterference(*worker);
        // An overdue task exceeds the bound on exploratory starts only where no other worker is
        // left.
        const bool heldBack = mode == PlacementMode::Overdue && isHeldBack(*worker, step);
        if (best == nullptr
            || std::pair(!heldBack, value) > std::pair(!isBestHeldBack, bestScore)) {
            best = worker;
            bestScore = value;
            isBestHeldBack = heldBack;
        }
    }
    return best;
}

std::vector<TrialCandidate>
Placer::trialCandidates(Timestamp now, const WorkerTable &workers, Duration length,
                        const std::unordered_set<const Step *> &steps) const
{
    std::vector<TrialCandidate> candidates;
    for (const auto &[id, worker] : workers.all()) {
        const auto mayStay = [&](const RunRef &it) {
            return now - it.get().startedAt > length || steps.contains(it.task.step);
        };
        if (isReachable(now, *worker) && std::ranges::all_of(worker->runs, mayStay))
            candidates.push_back({ .worker = worker.get(), .load = loadForTrial(*worker) });
    }
    std::ranges::stable_sort(candidates, {}, &TrialCandidate::load);
    return candidates;
}

Worker *Placer::chooseForTrial(Timestamp now, const WorkerTable &workers, const Step &step,
                               Duration length, const RackName *rack, PlacementMode mode,
                               bool joinsOnly) const
{
    std::vector<TrialCandidate> all;
    all.reserve(workers.all().size());
    for (const auto &[id, worker] : workers.all())
        all.push_back({ .worker = worker.get(), .load = {} });
    return chooseForTrial(now, all, step, length, rack, mode, joinsOnly);
}

Worker *Placer::chooseForTrial(Timestamp now, std::span<const TrialCandidate> candidates,
                               const Step &step, Duration length, const RackName *rack,
                               PlacementMode mode, bool joinsOnly) const
{
    Worker *best = nullptr;
    TrialRank bestRank;
    for (const TrialCandidate &it : candidates) {
        if (best != nullptr && it.load > bestRank.first)
            break;
        Worker *worker = it.worker;
        if ((joinsOnly && worker->trials.empty()) || !isReachable(now, *worker)
            || findObstacle(*worker, step, mode) != PlacementObstacle::None
            || !isFreeForTrial(now, *worker, step, length)
            || (rack != nullptr && worker->life.rack != *rack)
            || (step.permits() != nullptr && step.permits()->find(*worker, now) == nullptr))
            continue;
        const TrialRank rank = rankForTrial(*worker, score(now, *worker, step));
        if (best == nullptr || rank < bestRank) {
            best = worker;
            bestRank = rank;
        }
    }
    return best;
}

Worker *Placer::chooseToReserve(Timestamp now, const WorkerTable &workers, const Step &step) const
{
    Worker *best = nullptr;
    std::tuple<bool, bool, TrialRank> bestRank;
    for (const auto &[id, worker] : workers.all()) {
        if (!isUsable(now, *worker) || !canEverFit(*worker, step)
            || (step.permits() != nullptr && step.permits()->find(*worker, now) == nullptr))
            continue;
        // A worker that was kept for the step before and had no room for it comes last.
        const std::tuple rank { !fits(*worker, step), worker->reservedFor == step.key(0),
                                rankForTrial(*worker, score(now, *worker, step)) };
        if (best == nullptr || rank < bestRank) {
            best = worker.get();
            bestRank = rank;
        }
    }
    return best;
}

} // namespace acaciafork::jobs
