#include "acaciafork/decisions/jobs/TurnQueue.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

/// Shorter waits count as none.
constexpr Duration shortestWait = std::chrono::seconds(1);

/// How long the job of a step with ready tasks has had nothing running.
Duration waitOf(Timestamp now, const Step &step)
{
    const Timestamp since = step.job->afterLastRun(step.readyAt);
    // Rules most steps out without a look at their tasks.
    if (now - since < shortestWait || step.job->isAtWork())
        return {};
    return now - std::max(since, step.firstReadySince());
}

} // namespace

double TurnQueue::acceptedInterference(Duration wait) const
{
    if (wait < m_settings.slowlyAfter)
        return 0;
    return wait < m_settings.lastAfter ? m_settings.acceptedInterference
                                       : m_settings.lastAcceptedInterference;
}

void TurnQueue::update(Timestamp now, const StepOrder &order)
{
    std::vector<std::pair<Duration, const Step *>> due;
    m_longestWait = {};
    for (const auto &[rank, step] : order.steps()) {
        if (step->spec->longRunning) {
            if (step->spec->fills)
                step->acceptedInterference = acceptedInterference(now - step->firstReadySince());
            continue;
        }
        const Duration wait = waitOf(now, *step);
        if (!step->spec->fills) {
            if (wait >= m_settings.reservingAfter)
                due.emplace_back(wait, step);
            continue;
        }
        m_longestWait = std::max(m_longestWait, wait);
        step->acceptedInterference = acceptedInterference(wait);
        const bool isTooLate = StepOrder::isTooLate(now, *step);
        if (wait >= (isTooLate ? m_settings.tooLateAfter : m_settings.firstAfter))
            due.emplace_back(wait, step);
    }
    std::ranges::stable_sort(due, std::ranges::greater(),
                             &std::pair<Duration, const Step *>::first);
    m_due.clear();
    for (const auto &[wait, step] : due)
        m_due.push_back(step->key(0));
}

} // namespace acaciafork::jobs
