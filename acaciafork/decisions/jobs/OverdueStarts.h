#pragma once

#include <set>
#include <string>
#include <utility>

#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Bounds the backfill tasks that start despite the interference expected of them, since their
/// jobs have waited for too long.
///
/// Such a task is slow and disturbs the serving tasks beside it, so that other backfill is slowed
/// down, too, and more jobs become overdue. Under a load that exceeds what the workers bear, their
/// number must not grow with that of the waiting jobs. While more than half of the processor time
/// of a pool is reserved, one such task at a time runs on a worker, and one of a backfill image
/// beside each serving image; it shows whether the estimate still holds.
class OverdueStarts
{
public:
    /// Brings the bound up to date; called before overdue tasks are placed.
    void update(const WorkerTable &workers);
    /// An overdue task of `filling` starts on the worker.
    void started(const Worker &worker, batch::Index filling);
    void clear();

    /// True when more than half of the processor time of the pool's workers is reserved.
    [[nodiscard]] bool isLimited(const std::string &pool) const
    {
        return m_limitedPools.contains(pool);
    }
    /// True when the bound allows an overdue task of `filling` on the worker.
    [[nodiscard]] bool mayStart(const Worker &worker, batch::Index filling) const;

private:
    std::set<std::string> m_limitedPools;
    /// Pairs of a serving and a backfill image with an overdue task.
    std::set<std::pair<batch::Index, batch::Index>> m_pairs;
};

} // namespace acaciafork::jobs
