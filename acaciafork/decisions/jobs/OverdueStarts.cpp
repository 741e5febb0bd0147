#include "acaciafork/decisions/jobs/OverdueStarts.h"

#include <algorithm>

namespace acaciafork::jobs {

void OverdueStarts::update(const WorkerTable &workers)
{
    clear();
    std::int64_t reserved = 0;
    std::int64_t capacity = 0;
    for (const auto &[id, worker] : workers.all()) {
        reserved += worker->used.millicores;
        capacity += worker->life.capacity.millicores;
        for (const RunRef &it : worker->runs) {
            if (it.get().isOverdue)
                started(*worker, it.task.step->image);
        }
    }
    m_isLimited = 2 * reserved > capacity;
}

void OverdueStarts::started(const Worker &worker, batch::Index filling)
{
    for (const auto &[serving, count] : worker.servedImages)
        m_pairs.emplace(serving, filling);
}

void OverdueStarts::clear()
{
    m_isLimited = false;
    m_pairs.clear();
}

bool OverdueStarts::mayStart(const Worker &worker, batch::Index filling) const
{
    if (!m_isLimited)
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
