#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/decisions/jobs/WorkerTable.h"

namespace acaciafork::jobs {

/// Settings of the kept workers.
struct GapPlannerSettings
{
    /// A step gets kept workers once it has waited for this long. Shorter waits end by themselves:
    /// short tasks take less than a second.
    Duration keepAfter = std::chrono::milliseconds(500);
    /// A worker is kept for one task for at most this long at a time.
    Duration longestKeep = std::chrono::seconds(5);
    std::size_t maxKept = 32;
    /// Maximum number of workers kept for one step at a time.
    std::size_t maxKeptPerStep = 4;
    /// Maximum part of the workers that are kept for urgent long-running steps, in percent; at
    /// least one.
    std::size_t maxUrgentPercent = 25;
    /// A job none of whose tasks runs, and each long-running task, is lost to its caller after 3 s
    /// with room free. Kept workers are open to them after this long, unless they are kept for an
    /// urgent step.
    Duration openAfter = std::chrono::milliseconds(1500);
    /// A worker with room for this many long-running tasks is open to one that has waited for half
    /// of `openAfter`, even when it is kept.
    std::int64_t openRoom = 2;
};

/// Expected room on a worker.
struct GapForecast
{
    /// When a task is expected to fit, by the expected ends of the short runs.
    Timestamp at;
    /// What is free by then, without the room for the task itself.
    Size spare;
};

/// Worker that is kept for a task of a step.
struct KeptGap
{
    /// The step, named by its first task.
    TaskKey step;
    Size size;
    Timestamp since;
    /// As of when it was first kept: later starts and longer runs don't move it.
    Timestamp expectedAt;
    Size spare;
    /// The step is long-running and urgent: the worker stays closed to others however long they
    /// have waited.
    bool isUrgent = false;
    /// Steps that did not get the worker meanwhile, each named by its first task.
    std::set<TaskKey> turnedAway;

    /// Details for the log.
    [[nodiscard]] std::string describe(Timestamp now) const;
};

/// Keeps workers for large tasks that wait, as in EASY backfilling: a kept worker accepts other
/// tasks only if they fit beside the kept one or are expected to end before its room is free.
///
/// Designed for small tasks that arrive continuously and take each gap before it is large enough
/// for a large task.
class GapPlanner
{
public:
    explicit GapPlanner(const GapPlannerSettings &settings = {})
        : m_settings(settings)
    { }

    /// When a task of the size is expected to fit on the worker; none if only the end of a
    /// long-running task can make room for it.
    [[nodiscard]] static std::optional<GapForecast> forecast(Timestamp now, const Worker &worker,
                                                             const Size &size);

    /// True when the step waits for room in a way that a kept worker can help.
    [[nodiscard]] bool mayKeep(Timestamp now, const Step &step) const;
    /// Number of further workers that may be kept for an urgent long-running step.
    /// @param[in] workers number of workers there are
    [[nodiscard]] std::size_t mayKeepUrgently(const Step &step, std::size_t workers) const;
    [[nodiscard]] bool isKept(const Worker &worker) const { return m_kept.contains(worker.id); }
    [[nodiscard]] bool isKeptUrgently(const Worker &worker) const
    {
        const auto it = m_kept.find(worker.id);
        return it != m_kept.end() && it->second.isUrgent;
    }
    [[nodiscard]] std::size_t keptFor(const Step &step) const;
    [[nodiscard]] bool isKeptUrgentlyFor(const Step &step) const;
    void keep(Timestamp now, const Worker &worker, const Step &step, const GapForecast &forecast,
              bool isUrgent = false);

    /// True when the worker is kept and the step must not start a task there now.
    [[nodiscard]] bool isClosedTo(Timestamp now, const Worker &worker, const Step &step) const;
    /// The same, and adds the step to KeptGap::turnedAway.
    bool turnsAway(Timestamp now, const Worker &worker, const Step &step);
    /// Takes a start on a worker into account.
    /// @return the gap that the start has used, if the worker was kept for the step
    std::optional<KeptGap> started(Timestamp now, const Worker &worker, const Step &step);
    /// Takes back a start of another step that has been taken into account at the same time and is
    /// not ordered after all.
    void withdrawn(Timestamp now, const Worker &worker, const Step &step);

    /// Ends the keep of a worker.
    void giveUp(WorkerId worker) { erase(m_kept.find(worker)); }
    /// Why a gap has to be given up; empty while it is kept.
    /// @param[in] worker null if it has been removed
    /// @param[in] step null if its job is over
    [[nodiscard]] std::string_view reasonToGiveUp(Timestamp now, const KeptGap &gap,
                                                  const Worker *worker, bool isUsable,
                                                  const Step *step) const;
    [[nodiscard]] const std::map<WorkerId, KeptGap> &kept() const { return m_kept; }
    void clear();
    [[nodiscard]] Duration longestKeep() const { return m_settings.longestKeep; }

private:
    using Kept = std::map<WorkerId, KeptGap>;

    /// True when a task that starts now is expected to run past the gap's expected start.
    [[nodiscard]] static bool takesSpare(Timestamp now, const KeptGap &gap, const Step &step);
    void erase(Kept::iterator it);

    GapPlannerSettings m_settings;
    Kept m_kept;
    /// Number of workers that are kept for urgent steps.
    std::size_t m_urgent = 0;
};

} // namespace acaciafork::jobs
