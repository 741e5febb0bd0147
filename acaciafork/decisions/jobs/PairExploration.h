#pragma once

#include <cstdint>
#include <vector>

#include "acaciafork/core/Core.h"
#include "acaciafork/decisions/batch/Batch.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Bounds the starts of backfill tasks beside serving tasks with which their image has not been
/// observed.
///
/// Answers the load of bursts of backfill tasks of one image: without a bound, a whole burst starts
/// before the first reading shows that the image interferes. One task at a time explores a pair of
/// images, and a worker has one such task at a time, so that a reading has one explanation.
class PairExploration
{
public:
    /// A pair is free again after this time without a verdict: readings may have stopped.
    static constexpr Duration maxLength = std::chrono::milliseconds(2500);

    /// True when a task of `filling` may start on the worker as the first beside `serving`.
    [[nodiscard]] bool mayExplore(WorkerId worker, batch::Index serving,
                                  batch::Index filling) const;
    /// A task of `filling` starts on the worker beside `serving`.
    void begin(Timestamp now, WorkerId worker, batch::Index serving, batch::Index filling);
    /// The readings have told whether the pair interferes.
    void settle(batch::Index serving, batch::Index filling);
    /// A task of `filling` on the worker has ended.
    void ended(WorkerId worker, batch::Index filling);
    /// Nothing is explored on the worker for a while: its readings decay from interference.
    void block(Timestamp now, WorkerId worker, Duration length);
    /// Drops what has expired; called before each use of a later time.
    void expire(Timestamp now);
    void clear();

    /// True when a task of `filling` explores beside any serving image.
    [[nodiscard]] bool isExplored(batch::Index filling) const;
    [[nodiscard]] bool isExploring(WorkerId worker) const
    {
        return worker.value < m_workers.size() && m_workers[worker.value] > 0;
    }

private:
    /// A pair explored on a worker; without images, a worker that is blocked.
    struct Hold
    {
        WorkerId worker;
        batch::Index serving = batch::noIndex;
        batch::Index filling = batch::noIndex;
        Timestamp until;
    };

    template <typename Predicate>
    void drop(Predicate isOver);
    [[nodiscard]] static std::size_t pairIndex(batch::Index serving, batch::Index filling);
    void add(const Hold &hold);

    std::vector<Hold> m_holds;
    /// Number of holds by pair of images, and by worker.
    std::vector<std::uint8_t> m_pairs;
    std::vector<std::uint16_t> m_workers;
};

} // namespace acaciafork::jobs
