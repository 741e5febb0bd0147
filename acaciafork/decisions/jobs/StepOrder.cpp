#include "acaciafork/decisions/jobs/StepOrder.h"

#include <algorithm>

namespace acaciafork::jobs {

namespace {

/// Time to leave before the objective for work that takes longer than estimated.
Duration reserveOf(const Step &step)
{
    // Part of the slack is left, so that a job that has just arrived is not late already.
    constexpr double maxShareOfSlack = 0.7;
    const Job &job = *step.job;
    if (job.isUnderway())
        return {};
    const Duration slack = std::max(Duration {}, job.objective - step.remainingPath);
    const double wanted = static_cast<double>(step.remainingPath.count()) * (job.stretch - 1);
    return Duration(static_cast<std::int64_t>(
            std::min(wanted, static_cast<double>(slack.count()) * maxShareOfSlack)));
}

} // namespace

StepOrder::Rank StepOrder::rankOf(Timestamp now, const Step &step) const
{
    const Job &job = *step.job;
    const bool isLower = m_lookAhead && (step.spec->longRunning || step.spec->fills);
    Rank rank { .band = isLower ? 1U : 0U,
                .priority = job.priority,
                .isLongRunning = step.spec->longRunning,
                .awaitsFirstStart = job.isFinishedFirst && !job.isUnderway(),
                .latestStart = step.dueAt + job.objective - step.remainingPath - reserveOf(step),
                .job = job.id,
                .step = static_cast<std::uint32_t>(step.occurrence * job.spec->steps.size())
                        + step.number };
    // A long-running task is useful from its start on and is never too late.
    if (step.spec->longRunning)
        return rank;
    if (now > rank.latestStart)
        rank.band += isTooLate(now, step) ? 2 : 1;
    return rank;
}

bool StepOrder::isTooLate(Timestamp now, const Step &step)
{
    return now + step.remainingPath > step.dueAt + step.job->objective * lateFactor;
}

void StepOrder::insert(Timestamp now, Step *step)
{
    if (step->isQueued)
        return;
    step->isQueued = true;
    const Rank rank = rankOf(now, *step);
    m_steps.emplace(rank, step);
    const std::uint64_t number = step->spec->longRunning ? ++m_lastNumber : 0;
    if (number > 0)
        m_longRunning.emplace(number, step);
    m_entries.emplace(step, Entry { .rank = rank, .number = number });
}

void StepOrder::erase(Step *step)
{
    if (!step->isQueued)
        return;
    step->isQueued = false;
    const auto it = m_entries.find(step);
    ACACIAFORK_ASSERT(it != m_entries.end());
    m_steps.erase(it->second.rank);
    m_longRunning.erase(it->second.number);
    m_entries.erase(it);
}

void StepOrder::clear()
{
    m_steps.clear();
    m_longRunning.clear();
    m_entries.clear();
}

void StepOrder::update(Timestamp now, Step *step)
{
    if (!step->isQueued)
        return;
    const auto it = m_entries.find(step);
    ACACIAFORK_ASSERT(it != m_entries.end());
    m_steps.erase(it->second.rank);
    it->second.rank = rankOf(now, *step);
    m_steps.emplace(it->second.rank, step);
}

void StepOrder::refresh(Timestamp now)
{
    // The rest of the rank stays as it was.
    for (auto it = m_steps.begin(); it != m_steps.end();) {
        Step *step = it->second;
        const Rank rank = rankOf(now, *step);
        if (rank.band == it->first.band && rank.awaitsFirstStart == it->first.awaitsFirstStart) {
            ++it;
            continue;
        }
        it = m_steps.erase(it);
        m_steps.emplace(rank, step);
        m_entries.at(step).rank = rank;
    }
}

} // namespace acaciafork::jobs
