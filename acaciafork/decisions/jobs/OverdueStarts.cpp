#include "acaciafork/decisions/jobs/OverdueStarts.h"

#include <algorithm>
#include <map>

namespace acaciafork::jobs {

void OverdueStarts::update(const WorkerTable &workers,
                           const std::function<bool(const Worker &)> &isReachable)
{
    clear();
    /// Millicores by which a pool exceeds limitedAbovePercent, times 100; negative when it doesn't.
    std::map<std::string_view, std::int64_t> excess;
    for (const auto &[id, worker] : workers.all()) {
        if (!isReachable(*worker))
            continue;
        excess[worker->life.pool] += wholePercent * worker->used.millicores
                - limitedAbovePercent * worker->life.capacity.millicores;
        for (const RunRef &it : worker->runs) {
            if (it.get().isOverdue)
                started(*worker, it.task.step->image);
        }
    }
    for (const auto &[pool, millicores] : excess) {
        if (millicores > 0)
            m_limitedPools.emplace(pool);
    }
}

void OverdueStarts::started(const Worker &worker, batch::Index filling)
{
    for (const auto &[serving, count] : worker.servedImages)
        m_pairs.emplace(serving, filling);
}

void OverdueStarts::clear()
{
    m_limitedPools.clear();
    m_pairs.clear();
}

bool OverdueStarts::mayStart(const Worker &worker, batch::Index filling) const
{
    if (!isLimited(worker.life.pool))
        return true;
    // Where anything is slowed down already, one more makes it worse.
    return worker.backfillPercent == wholePercent
            && std::ranges::none_of(worker.runs,
                                    [](const RunRef &it) { return it.get().isOverdue; })
            && std::ranges::none_of(worker.servedImages, [&](const auto &it) {
                   return m_pairs.contains({ it.first, filling });
               });
}

} // namespace acaciafork::jobs
