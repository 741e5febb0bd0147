#pragma once

#include <cstdint>
#include <functional>
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
/// number must not grow with that of the waiting jobs. While most of the processor time of a pool
/// is reserved, one such task at a time runs on a worker, and one of a backfill image beside each
/// serving image; it shows whether the estimate still holds.
///
/// Workers that can't be reached count neither with their capacity nor with their runs. Callers
/// expect a start while half of the pool is in use, by figures that differ from these, so the bound
/// begins above that.
class OverdueStarts
{
public:
    /// Part of the processor time of a pool that is reserved when its bound begins, in percent.
    static constexpr std::int64_t limitedAbovePercent = 60;

    /// Brings the bound up to date; called before overdue tasks are placed.
    /// @param[in] isReachable tells whether a worker may get new work
    void update(const WorkerTable &workers, const std::function<bool(const Worker &)> &isReachable);
    /// An overdue task of `filling` starts on the worker.
    void started(const Worker &worker, batch::Index filling);
    void clear();

    /// True when more than limitedAbovePercent of the processor time of the pool is reserved.
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
