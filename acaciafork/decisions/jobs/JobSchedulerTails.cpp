#include <algorithm>
#include <cstdlib>

#include "acaciafork/decisions/jobs/JobScheduler.h"

// Tail latencies of serving tasks, and the throttling of backfill tasks beside them.

namespace acaciafork::jobs {
namespace {

/// Time span that a worker's load readings cover.
constexpr Duration tailWindow = std::chrono::milliseconds(500);
/// A share that a worker's readings do not show is ordered again after this time: twice the span of
/// a reading.
constexpr Duration paceRepeatDelay = 2 * tailWindow;
/// That time doubles with each repetition up to this number: a task may also use little because
/// little is left.
constexpr std::uint32_t maxDoublings = 5;
/// Smaller changes of the share of an overdue task are not ordered, in percentage points.
constexpr std::int64_t minShareChange = 5;
/// Readings vary by about this much around the tail latency, in percent.
constexpr std::int64_t readingErrorPercent = 10;

/// True when the processor time that a task uses may result from the share last ordered. Readings
/// are rough, and a task may get less than its share.
bool showsShare(const Run &run, const StepSpec &spec)
{
    const std::int64_t allowed = spec.size.millicores * run.percent / wholePercent;
    if (run.percent < wholePercent && run.load > 2 * allowed)
        return false;
    return run.percent == 0 || run.load > allowed / 3;
}

} // namespace

void JobScheduler::observeTarget(Timestamp now, std::int64_t targetMs, Run *run)
{
    if (run->load > targetMs) {
        run->overTargetSince = std::min(run->overTargetSince, now);
        run->belowTargetSince = Timestamp::max();
        return;
    }
    // A single reading just below the target may be an error of measurement.
    run->belowTargetSince = std::min(run->belowTargetSince, now);
    const bool isClearlyBelow =
            run->load * wholePercent < targetMs * (wholePercent - readingErrorPercent);
    if (isClearlyBelow || now - run->belowTargetSince >= tailWindow)
        run->overTargetSince = Timestamp::max();
}

void JobScheduler::readTails(Timestamp now, Worker *worker, std::vector<TailReading> *tails)
{
    // Readings cover half a second, so the effects of changes within it cannot be separated.
    bool isSteady = now - worker->pacedAt > tailWindow;
    std::vector<BackfillNeighbour> neighbours;
    for (const RunRef &it : worker->runs) {
        if (!it.task.step->spec->fills)
            continue;
        isSteady = isSteady && now - it.get().startedAt > tailWindow;
        neighbours.push_back(
                { .image = it.task.step->spec->image,
                  .share = shareOf(*worker, std::max<std::int64_t>(it.get().load, 0)) });
    }
    std::map<std::string_view, double> worstRatios;
    for (const RunRef &it : worker->runs) {
        const StepSpec &spec = *it.task.step->spec;
        Run &run = it.get();
        if (!spec.serves() || run.load < 0 || run.phase != RunPhase::Running)
            continue;
        const std::int64_t targetMs = spec.tailTarget / std::chrono::milliseconds(1);
        observeTarget(now, targetMs, &run);
        const TailReading tail { .image = spec.image, .tailMs = run.load, .targetMs = targetMs };
        tails->push_back(tail);
        const bool wasRecovering = run.isTailRecovering;
        // The first steady reading in danger is learned from, the later ones are not.
        run.isTailRecovering =
                (isSteady || wasRecovering) && m_throttle.isRecovering(tail, wasRecovering);
        if (!isSteady || targetMs <= 0 || wasRecovering)
            continue;
        // Runs of one image have the same neighbours here: together they count as one reading.
        double &worst = worstRatios.try_emplace(spec.image, 0).first->second;
        worst = std::max(worst, static_cast<double>(run.load) / static_cast<double>(targetMs));
    }
    for (const auto &[image, ratio] : worstRatios)
        m_interference.observe(image, ratio, neighbours);
}

bool JobScheduler::evictInterferingTasks(Timestamp now, Worker *worker,
                                         std::span<const TailReading> tails)
{
    // A task known to interfere is moved to another worker; the other backfill tasks are left
    // alone.
    std::size_t moved = 0;
    std::size_t kept = 0;
    const std::vector<RunRef> runs = worker->runs;
    for (const RunRef &it : runs) {
        const StepSpec &spec = *it.task.step->spec;
        // Overdue tasks run there although they may disturb; their shares are reduced instead.
        if (!spec.fills || it.get().phase != RunPhase::Running || it.get().isOverdue)
            continue;
        const double share = shareOf(*worker, spec);
        const bool disturbs = std::ranges::any_of(tails, [&](const TailReading &tail) {
            return m_throttle.isInDanger(tail)
                    && m_interference.expected(tail.image, spec.image, share)
                    >= m_settings.placer.maxInterference;
        });
        if (!disturbs)
            continue;
        ++(stopByChoice(now, it, "disturbs") ? moved : kept);
    }
    return moved > 0 && kept == 0;
}

void JobScheduler::throttleBackfill(Timestamp now, Worker *worker)
{
    if (m_settings.cautiousBackfill) {
        throttleCautiously(now, worker);
        return;
    }
    std::vector<TailReading> tails;
    readTails(now, worker, &tails);
    worker->isTailInDanger = std::ranges::any_of(
            tails, [this](const TailReading &it) { return m_throttle.isInDanger(it); });
    if (worker->backfillMillicores == 0) {
        worker->backfillPercent = wholePercent;
        return;
    }
    repeatLostPaces(now, *worker);
    movePausedRuns(now, *worker);
    const bool moved = evictInterferingTasks(now, worker, tails);
    if (pauseIfOverTarget(now, worker) || moved)
        return;
    paceOverdueRuns(now, worker, tails);
    const std::int64_t before = worker->backfillPercent;
    const std::int64_t percent = m_throttle.decide(now, before, worker->pacedAt, tails);
    if (percent == before)
        return;
    // Backfill tasks known not to interfere with any task on this worker are not throttled.
    std::size_t pacedTasks = 0;
    for (const RunRef &it : worker->runs) {
        Run &run = it.get();
        if (!it.task.step->spec->fills || run.phase != RunPhase::Running)
            continue;
        std::int64_t next = percent;
        if (run.isOverdue) {
            // Reduced in proportion; paceOverdueRuns() increases the share again.
            next = before > 0 ? run.percent * percent / before : 0;
            next = next < m_settings.throttle.minPercent ? 0 : next;
            if (percent > before || next == run.percent)
                continue;
        } else if (percent < before ? isHarmless(*worker, it, tails) : run.percent >= percent) {
            continue;
        }
        ++pacedTasks;
        orderPace(now, *worker, it, next);
    }
    if (pacedTasks == 0 && percent < before)
        return;
    note("tasks-paced", {}, worker,
         "from=" + std::to_string(before) + " to=" + std::to_string(percent)
                 + " tasks=" + std::to_string(pacedTasks));
    worker->backfillPercent = percent;
    worker->pacedAt = now;
}

void JobScheduler::orderPace(Timestamp now, const Worker &worker, const RunRef &ref,
                             std::int64_t percent)
{
    Run &run = ref.get();
    run.paceRepeats = percent == run.percent ? run.paceRepeats + 1 : 0;
    if (percent > 0)
        run.pausedSince = Timestamp::max();
    else if (run.pausedSince == Timestamp::max())
        run.pausedSince = now;
    run.percent = percent;
    run.pacedAt = now;
    m_commands.emplace_back(
            PaceRun { .target = targetOf(worker), .run = ref.key(), .percent = percent });
}

void JobScheduler::repeatLostPaces(Timestamp now, const Worker &worker)
{
    // Orders may be lost or carried out late, and an earlier leader may have given others. One that
    // is already in force changes nothing at the worker.
    for (const RunRef &it : worker.runs) {
        const Run &run = it.get();
        if (!it.task.step->spec->fills || run.phase != RunPhase::Running || run.load < 0)
            continue;
        const Duration delay = paceRepeatDelay * (1 << std::min(run.paceRepeats, maxDoublings));
        if (!showsShare(run, *it.task.step->spec)
            && now - std::max(run.pacedAt, run.startedAt) >= delay)
            orderPace(now, worker, it, run.percent);
    }
}

void JobScheduler::paceOverdueRuns(Timestamp now, Worker *worker,
                                   std::span<const TailReading> tails)
{
    // Readings between two changes show the interference at one share.
    if (now - worker->pacedAt < m_settings.throttle.increaseInterval)
        return;
    const bool mayIncrease = m_throttle.isSafe(tails);
    const std::int64_t percent =
            std::min(worker->backfillPercent, m_placer.acceptablePercent(*worker, nullptr));
    for (const RunRef &it : worker->runs) {
        const Run &run = it.get();
        if (!run.isOverdue || run.phase != RunPhase::Running
            || std::abs(percent - run.percent) < minShareChange
            || (percent > run.percent && !mayIncrease))
            continue;
        worker->pacedAt = now;
        orderPace(now, *worker, it, percent);
    }
}

void JobScheduler::movePausedRuns(Timestamp now, const Worker &worker)
{
    const std::vector<RunRef> runs = worker.runs;
    for (const RunRef &it : runs) {
        const Run &run = it.get();
        if (run.phase == RunPhase::Running && run.pausedSince != Timestamp::max()
            && now - run.pausedSince >= m_settings.maxPause)
            stopByChoice(now, it, "paused");
    }
}

bool JobScheduler::pauseIfOverTarget(Timestamp now, Worker *worker)
{
    // A tail latency that stays over its target pauses all backfill tasks, whatever their estimated
    // interference.
    const bool isOverTooLong = std::ranges::any_of(worker->runs, [&](const RunRef &it) {
        const Run &run = it.get();
        return run.overTargetSince != Timestamp::max() && run.belowTargetSince == Timestamp::max()
                && now - run.overTargetSince >= m_settings.maxTimeOverTarget;
    });
    if (!isOverTooLong)
        return false;
    std::size_t paused = 0;
    for (const RunRef &it : worker->runs) {
        Run &run = it.get();
        if (!it.task.step->spec->fills || run.phase != RunPhase::Running || run.percent == 0)
            continue;
        ++paused;
        orderPace(now, *worker, it, 0);
    }
    if (paused > 0)
        note("tasks-paused", {}, worker, "tasks=" + std::to_string(paused));
    worker->backfillPercent = 0;
    worker->pacedAt = now;
    return true;
}

bool JobScheduler::isHarmless(const Worker &worker, const RunRef &run,
                              std::span<const TailReading> tails) const
{
    const StepSpec &spec = *run.task.step->spec;
    const double share = shareOf(worker, spec);
    return std::ranges::all_of(tails, [&](const TailReading &it) {
        return !m_throttle.isInDanger(it) || m_interference.isHarmless(it.image, spec.image, share);
    });
}

} // namespace acaciafork::jobs
