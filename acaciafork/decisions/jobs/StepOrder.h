#pragma once

#include <set>

#include "acaciafork/decisions/jobs/JobTable.h"

namespace acaciafork::jobs {

/// Order in which steps get workers while there is not enough capacity for all.
///
/// Jobs whose work is expected to take longer than estimated count as late earlier while they have
/// not begun (see Job::stretch), and those that have begun go first. Otherwise a standing queue
/// would start every job at the last moment that its estimate allows, share the capacity among too
/// many of them, and nearly all would end just too late.
///
/// Designed for a burst of large jobs on top of steady small ones. Steps that can still meet their
/// objective come before steps that cannot. Within each band, steps are ordered by queue priority,
/// then short-running before long-running, then by latest start. So jobs that are already late do
/// not delay others beyond their objectives, and a large job with spare time does not block small
/// ones.
///
/// With look-ahead, long-running and backfill steps are one band lower. A short task delays a
/// long-running one by about a second, while a long-running one holds its capacity for a minute, so
/// short steps come first even when they are late, as long as a late result still counts. The
/// exception are tasks that have lost their run (see JobSchedulerSettings::urgentAfter). Backfill
/// steps reserve no processor time; they move with the long-running steps so that the order between
/// these two does not change.
class StepOrder
{
public:
    /// @param[in] lookAhead see JobSchedulerSettings::lookAhead
    explicit StepOrder(bool lookAhead = false)
        : m_lookAhead(lookAhead)
    { }

    /// Sort key of a step.
    struct Rank
    {
        /// Lateness: 0 can meet the objective, 1 is late but can end while a late result still
        /// counts, 2 neither. With look-ahead, one more for long-running and backfill steps.
        std::uint32_t band = 0;
        std::uint32_t priority = 0;
        /// Long-running tasks hold their capacity for long: short ones that are on time come first.
        bool isLongRunning = false;
        /// The job has not begun, and jobs that have go first (see Job::isFinishedFirst).
        bool awaitsFirstStart = false;
        /// Latest start that still meets the objective.
        Timestamp latestStart;
        JobId job;
        std::uint32_t step = 0;

        auto operator<=>(const Rank &) const = default;
    };

    /// A late result still counts up to this multiple of the objective; fixed by the interface.
    static constexpr std::int64_t lateFactor = 3;

    /// Sort key of a step at the given time.
    [[nodiscard]] Rank rankOf(Timestamp now, const Step &step) const;

    /// True when the job can't end any more while a late result counts.
    [[nodiscard]] static bool isTooLate(Timestamp now, const Step &step);

    /// Adds a step that has ready tasks.
    void insert(Timestamp now, Step *step);
    void erase(Step *step);
    void clear();

    /// Moves a step to its place after the definition of its queue has changed.
    void update(Timestamp now, Step *step);
    /// Reorders the steps whose lateness band has changed since they were inserted.
    void refresh(Timestamp now);
    /// All steps in order.
    [[nodiscard]] const std::map<Rank, Step *> &steps() const { return m_steps; }
    /// The long-running ones among them, in the order in which they were inserted.
    [[nodiscard]] const std::map<std::uint64_t, Step *> &longRunningSteps() const
    {
        return m_longRunning;
    }

private:
    struct Entry
    {
        Rank rank;
        /// Position among the long-running steps; 0 for the others.
        std::uint64_t number = 0;
    };

    bool m_lookAhead;
    std::map<Rank, Step *> m_steps;
    std::unordered_map<const Step *, Entry> m_entries;
    std::map<std::uint64_t, Step *> m_longRunning;
    std::uint64_t m_lastNumber = 0;
};

} // namespace acaciafork::jobs
