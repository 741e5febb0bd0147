#include "acaciafork/decisions/jobs/StepPermits.h"

#include <algorithm>
#include <tuple>

#include "acaciafork/decisions/jobs/Placer.h"

namespace acaciafork::jobs {

const Permit *StepPermits::find(const Worker &worker, Timestamp now) const
{
    const auto it = m_verdicts.find(worker.life.name);
    if (it == m_verdicts.end() || !it->second.isAllowed)
        return nullptr;
    const Permit &permit = it->second.permit;
    const bool isValid = permit.born == worker.life.born && now + m_settings.margin < permit.until;
    return isValid ? &permit : nullptr;
}

std::vector<WorkerName> StepPermits::chooseAsked(Timestamp now, const WorkerTable &workers,
                                                 const Placer &placer, const Step &step) const
{
    if (!m_asked.empty() || now < m_askAgainAt)
        return {};
    /// A worker to ask about; those known to be allowed first, then those with the most room.
    using Candidate = std::tuple<bool, std::int64_t, WorkerName>;
    std::vector<Candidate> candidates;
    for (const auto &[id, worker] : workers.all()) {
        if (!placer.isUsable(now, *worker) || !Placer::couldHold(*worker, step)
            || find(*worker, now) != nullptr)
            continue;
        const auto it = m_verdicts.find(worker->life.name);
        const bool isKnown = it != m_verdicts.end() && it->second.born == worker->life.born;
        if (isKnown && !it->second.isAllowed)
            continue;
        candidates.emplace_back(!isKnown, -worker->room().millicores, worker->life.name);
    }
    std::ranges::sort(candidates);
    const std::size_t most =
            std::min(m_settings.mostAsked, 2 * step.ready.size() + m_settings.askedBeyond);
    std::vector<WorkerName> names;
    for (const Candidate &it : candidates) {
        if (names.size() == most)
            break;
        names.push_back(std::get<WorkerName>(it));
    }
    return names;
}

void StepPermits::asked(const std::vector<WorkerName> &names, const WorkerTable &workers)
{
    for (const WorkerName &it : names) {
        const Worker *worker = workers.find(it);
        ACACIAFORK_ASSERT(worker != nullptr);
        m_asked.emplace_back(it, worker->life.born);
    }
}

void StepPermits::answered(Timestamp now,
                           const std::vector<std::pair<WorkerName, std::string>> &good,
                           Duration validity)
{
    for (const auto &[name, born] : m_asked)
        m_verdicts[name] = { .born = born };
    for (const auto &[name, text] : good) {
        const auto it =
                std::ranges::find(m_asked, name, &std::pair<WorkerName, Incarnation>::first);
        if (it != m_asked.end())
            m_verdicts[name] = {
                .born = it->second,
                .isAllowed = true,
                .permit = { .text = text, .born = it->second, .until = now + validity }
            };
    }
    m_asked.clear();
}

void StepPermits::unanswered(Timestamp now)
{
    m_asked.clear();
    m_askAgainAt = now + m_settings.retryPause;
}

void StepPermits::drop(const WorkerName &worker)
{
    m_verdicts.erase(worker);
}

} // namespace acaciafork::jobs
