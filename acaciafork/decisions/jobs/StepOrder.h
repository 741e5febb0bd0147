#pragma once

#include <set>

#include "acaciafork/decisions/jobs/JobTable.h"

namespace acaciafork::jobs {

/// Order in which steps get workers while there is not room for all.
///
/// Load pattern: a burst of large jobs over steady small ones. Work that can still meet its
/// objective comes before work that can't any more; within each, a queue of higher priority first,
/// short work before tasks that last, then the step whose last moment to begin comes first. So a
/// job that is lost already does not make others miss theirs, and a wide job that has time does not
/// hide small ones.
class StepOrder
{
public:
    /// Place of a step in the order.
    struct Rank
    {
        /// 0 can meet the objective, 1 can still end while a late answer counts, 2 neither.
        std::uint32_t band = 0;
        std::uint32_t priority = 0;
        /// Tasks that last hold their room for long: short work that is in time goes first.
        bool isLongRunning = false;
        /// Last moment to begin.
        Timestamp latestStart;
        JobId job;
        std::uint32_t step = 0;

        auto operator<=>(const Rank &) const = default;
    };

    /// A late answer counts up to this many times the objective; a bound of the interface.
    static constexpr std::int64_t lateFactor = 3;

    /// Place of a step at a moment.
    static Rank rankOf(Timestamp now, const Step &step);

    /// Adds a step that has ready tasks.
    void insert(Timestamp now, Step *step);
    void erase(Step *step);
    void clear();

    /// Moves the steps whose band has changed since they were placed.
    void refresh(Timestamp now);
    /// All steps in order.
    [[nodiscard]] const std::map<Rank, Step *> &steps() const { return m_steps; }

private:
    std::map<Rank, Step *> m_steps;
    std::unordered_map<const Step *, Rank> m_ranks;
};

} // namespace acaciafork::jobs
