#include "acaciafork/decisions/jobs/StepPermits.h"

#include <algorithm>
#include <tuple>

#include "acaciafork/decisions/jobs/Placer.h"

namespace acaciafork::jobs {

const Permit *StepPermits::find(const Worker &worker, Timestamp now) const
{
    const auto it = m_decisions.find(worker.life.name);
    if (it == m_decisions.end() || !it->second.isAllowed)
        return nullptr;
    const Permit &permit = it->second.permit;
    const bool isValid = permit.born == worker.life.born && now + m_settings.margin < permit.until;
    return isValid ? &permit : nullptr;
}

std::vector<WorkerName> StepPermits::chooseWorkersToRequest(Timestamp now,
                                                            const WorkerTable &workers,
                                                            const Placer &placer,
                                                            const Step &step) const
{
    if (!m_requested.empty() || now < m_retryAt)
        return {};
    /// Candidate worker; sorts those known to be allowed first, then those with the most free
    /// capacity.
    using Candidate = std::tuple<bool, std::int64_t, WorkerName>;
    std::vector<Candidate> candidates;
    for (const auto &[id, worker] : workers.all()) {
        if (!placer.isReachable(now, *worker) || !Placer::canEverFit(*worker, step)
            || find(*worker, now) != nullptr)
            continue;
        const auto it = m_decisions.find(worker->life.name);
        const bool isKnown = it != m_decisions.end() && it->second.born == worker->life.born;
        // A decision is worth asking for ahead, since it holds for good. A permit that will expire
        // is of use only once a task fits.
        if (isKnown && (!it->second.isAllowed || !placer.fits(*worker, step)))
            continue;
        candidates.emplace_back(!isKnown, -worker->freeCapacity().millicores, worker->life.name);
    }
    std::ranges::sort(candidates);
    const std::size_t most = std::min(m_settings.maxWorkersPerRequest,
                                      2 * step.ready.size() + m_settings.spareWorkersPerRequest);
    std::vector<WorkerName> names;
    for (const Candidate &it : candidates) {
        if (names.size() == most)
            break;
        names.push_back(std::get<WorkerName>(it));
    }
    return names;
}

void StepPermits::requestSent(const std::vector<WorkerName> &names, const WorkerTable &workers)
{
    for (const WorkerName &it : names) {
        const Worker *worker = workers.find(it);
        ACACIAFORK_ASSERT(worker != nullptr);
        m_requested.emplace_back(it, worker->life.born);
    }
}

void StepPermits::requestAnswered(Timestamp now,
                                  const std::vector<std::pair<WorkerName, std::string>> &allowed,
                                  Duration validity)
{
    for (const auto &[name, born] : m_requested)
        m_decisions[name] = { .born = born };
    for (const auto &[name, text] : allowed) {
        const auto it =
                std::ranges::find(m_requested, name, &std::pair<WorkerName, Incarnation>::first);
        if (it != m_requested.end())
            m_decisions[name] = {
                .born = it->second,
                .isAllowed = true,
                .permit = { .text = text, .born = it->second, .until = now + validity }
            };
    }
    m_requested.clear();
}

void StepPermits::requestFailed(Timestamp now)
{
    m_requested.clear();
    m_retryAt = now + m_settings.retryDelay;
}

void StepPermits::discard(const WorkerName &worker)
{
    m_decisions.erase(worker);
}

} // namespace acaciafork::jobs
