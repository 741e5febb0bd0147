#include "acaciafork/decisions/jobs/GapPlanner.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

/// A run that exceeds its estimate is expected to take another quarter of its time so far; the
/// forecast then grows with the error of the estimate, whatever its size.
constexpr std::int64_t overrunDivisor = 4;
constexpr Duration minRemaining = std::chrono::milliseconds(20);

struct ExpectedEnd
{
    Timestamp at;
    Size size;
};

bool hasWaited(Timestamp now, Timestamp since, Duration length)
{
    return since <= now && now - since >= length;
}

Timestamp expectedEnd(Timestamp now, const RunRef &ref)
{
    const Timestamp startedAt = ref.get().startedAt;
    const Timestamp estimated = startedAt + ref.task.step->spec->estimate;
    if (estimated >= now + minRemaining)
        return estimated;
    return now + std::max((now - startedAt) / overrunDivisor, minRemaining);
}

} // namespace

std::string KeptGap::describe(Timestamp now) const
{
    constexpr auto millisecond = std::chrono::milliseconds(1);
    return "kept-ms=" + std::to_string((now - since) / millisecond)
            + " due-ms=" + std::to_string((expectedAt - now) / millisecond)
            + " turned-away=" + std::to_string(turnedAway.size());
}

std::optional<GapForecast> GapPlanner::forecast(Timestamp now, const Worker &worker,
                                                const Size &size)
{
    GapForecast result { .at = now, .spare = worker.freeCapacity() };
    if (!size.fitsIn(result.spare)) {
        std::vector<ExpectedEnd> ends;
        Size room = result.spare;
        for (const RunRef &it : worker.runs) {
            if (it.task.step->spec->longRunning)
                continue;
            ends.push_back({ .at = expectedEnd(now, it), .size = it.task.step->spec->reserved() });
            room += ends.back().size;
        }
        if (!size.fitsIn(room))
            return std::nullopt;
        std::ranges::sort(ends, {}, &ExpectedEnd::at);
        for (const ExpectedEnd &it : ends) {
            if (size.fitsIn(result.spare))
                break;
            result.at = it.at;
            result.spare += it.size;
        }
    }
    result.spare -= size;
    return result;
}

bool GapPlanner::mayKeep(Timestamp now, const Step &step) const
{
    const StepSpec &spec = *step.spec;
    if (spec.fills || spec.longRunning || spec.gang || step.permits() != nullptr)
        return false;
    const std::size_t wanted = std::min(m_settings.maxKeptPerStep, step.ready.size());
    return now - step.readyAt >= m_settings.keepAfter
            && m_kept.size() - m_urgent < m_settings.maxKept && keptFor(step) < wanted;
}

std::size_t GapPlanner::mayKeepUrgently(const Step &step, std::size_t workers) const
{
    const StepSpec &spec = *step.spec;
    if (spec.fills || spec.gang || step.permits() != nullptr)
        return 0;
    const std::size_t most = std::max<std::size_t>(
            1, workers * m_settings.maxUrgentPercent / static_cast<std::size_t>(wholePercent));
    const std::size_t wanted = std::min(m_settings.maxKeptPerStep, step.ready.size());
    const std::size_t kept = keptFor(step);
    if (m_urgent >= most || kept >= wanted)
        return 0;
    return std::min(most - m_urgent, wanted - kept);
}

std::size_t GapPlanner::keptFor(const Step &step) const
{
    const TaskKey key = step.key(0);
    return static_cast<std::size_t>(
            std::ranges::count_if(m_kept, [&](const auto &it) { return it.second.step == key; }));
}

bool GapPlanner::isKeptUrgentlyFor(const Step &step) const
{
    const TaskKey key = step.key(0);
    return std::ranges::any_of(
            m_kept, [&](const auto &it) { return it.second.isUrgent && it.second.step == key; });
}

void GapPlanner::keep(Timestamp now, const Worker &worker, const Step &step,
                      const GapForecast &forecast, bool isUrgent)
{
    ACACIAFORK_ASSERT(!isKept(worker));
    m_urgent += isUrgent ? 1 : 0;
    m_kept[worker.id] = { .step = step.key(0),
                          .size = step.spec->reserved(),
                          .since = now,
                          .expectedAt = forecast.at,
                          .spare = forecast.spare,
                          .isUrgent = isUrgent,
                          .turnedAway = {} };
}

void GapPlanner::erase(Kept::iterator it)
{
    if (it == m_kept.end())
        return;
    m_urgent -= it->second.isUrgent ? 1 : 0;
    m_kept.erase(it);
}

void GapPlanner::clear()
{
    m_kept.clear();
    m_urgent = 0;
}

bool GapPlanner::isClosedTo(Timestamp now, const Worker &worker, const Step &step) const
{
    const auto it = m_kept.find(worker.id);
    if (it == m_kept.end())
        return false;
    const KeptGap &gap = it->second;
    const StepSpec &spec = *step.spec;
    const Size size = spec.reserved();
    if (gap.step == step.key(0) || size.fitsIn(gap.spare))
        return false;
    if (!spec.longRunning && spec.estimate > Duration {} && now + spec.estimate <= gap.expectedAt)
        return false;
    if (spec.longRunning) {
        const bool fitTwo = (size * m_settings.openRoom).fitsIn(worker.freeCapacity());
        if (fitTwo && hasWaited(now, step.firstReadySince(), m_settings.openAfter / 2))
            return false;
    }
    if (gap.isUrgent)
        return true;
    if (hasWaited(now, step.waitingSince, m_settings.openAfter))
        return !spec.longRunning && step.job->isAtWork();
    // Each long-running task that has lost its run counts, whether others of its step start or not.
    return !spec.longRunning || !hasWaited(now, step.firstDisplacedSince(), m_settings.openAfter);
}

bool GapPlanner::turnsAway(Timestamp now, const Worker &worker, const Step &step)
{
    if (!isClosedTo(now, worker, step))
        return false;
    m_kept.at(worker.id).turnedAway.insert(step.key(0));
    return true;
}

std::optional<KeptGap> GapPlanner::started(Timestamp now, const Worker &worker, const Step &step)
{
    const auto it = m_kept.find(worker.id);
    if (it == m_kept.end())
        return std::nullopt;
    KeptGap &gap = it->second;
    if (gap.step == step.key(0)) {
        KeptGap used = gap;
        erase(it);
        return used;
    }
    if (takesSpare(now, gap, step))
        gap.spare -= step.spec->reserved();
    return std::nullopt;
}

void GapPlanner::withdrawn(Timestamp now, const Worker &worker, const Step &step)
{
    const auto it = m_kept.find(worker.id);
    if (it != m_kept.end() && takesSpare(now, it->second, step))
        it->second.spare += step.spec->reserved();
}

bool GapPlanner::takesSpare(Timestamp now, const KeptGap &gap, const Step &step)
{
    return step.spec->longRunning || now + step.spec->estimate > gap.expectedAt;
}

std::string_view GapPlanner::reasonToGiveUp(Timestamp now, const KeptGap &gap, const Worker *worker,
                                            bool isUsable, const Step *step) const
{
    if (worker == nullptr || !isUsable)
        return "unusable";
    if (step == nullptr || !step->isQueued || keptFor(*step) > step->ready.size())
        return "placed";
    if (worker->life.pool != step->job->pool)
        return "moved";
    if (now - gap.since >= m_settings.longestKeep)
        return "expired";
    if (!forecast(now, *worker, gap.size))
        return "no-room";
    return {};
}

} // namespace acaciafork::jobs
