#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"
#include "acaciafork/state/Task.h"

namespace acaciafork::state {

class SnapshotWriter;
class Teams;

/// Tasks and their leases. A task has at most one live lease, and each lease has a higher epoch
/// than the one before. Reports change a task only if they name its current epoch. The next lease
/// is granted only once the previous one is known to have ended, and must name the last recorded
/// checkpoint.
class Tasks
{
public:
    /// Tasks by id.
    using Map = std::map<std::string, Task, std::less<>>;

    /// Sum of the resources of one team's tasks with live leases.
    struct Usage
    {
        std::uint64_t millicores = 0;
        std::uint64_t memoryMb = 0;
        std::uint64_t accelerators = 0;
    };

    Tasks(const StateLimits &limits, const Teams &teams)
        : m_limits(limits)
        , m_teams(teams)
    { }

    /// Queues a task. Submitting the same task again changes nothing; the same id with different
    /// content is a conflict.
    ApplyResult submit(const wire::SubmitTask &command, std::int64_t nowMicroseconds);
    /// Grants the next lease of a task.
    ApplyResult lease(const wire::LeaseTask &command, std::int64_t nowMicroseconds);
    /// Records that the worker has started the task.
    ApplyResult started(const wire::TaskStarted &command, std::int64_t nowMicroseconds);
    /// Records that a checkpoint was written.
    ApplyResult checkpointed(const wire::TaskCheckpointed &command, std::int64_t nowMicroseconds);
    /// Records that the lease has ended before the task was finished; the task can be leased again.
    ApplyResult stopped(const wire::TaskStopped &command, std::int64_t nowMicroseconds);
    /// Records that the task has finished successfully.
    ApplyResult finished(const wire::TaskFinished &command, std::int64_t nowMicroseconds);
    /// Records that the task has failed on this worker. A batch job ends if the failure is final;
    /// otherwise the task is queued again.
    ApplyResult failed(const wire::TaskFailed &command, std::int64_t nowMicroseconds);
    /// Cancels a batch job: at once if it has no live lease, else when the lease ends.
    ApplyResult cancel(const wire::CancelTask &command, std::int64_t nowMicroseconds);
    /// Records why a task can't run; a replica keeps its state. Rejected while it has a live lease.
    ApplyResult unschedulable(const wire::TaskUnschedulable &command, std::int64_t nowMicroseconds);

    /// Removes tasks that ended longer ago than StateLimits::endedTaskWindow.
    void expire(std::int64_t nowMicroseconds);

    /// Returns the task with that id, or nullptr.
    [[nodiscard]] const Task *find(std::string_view task) const;
    /// All tasks.
    [[nodiscard]] const Map &all() const { return m_tasks; }
    /// Number of tasks in a state.
    [[nodiscard]] std::size_t count(wire::TaskState state) const { return m_counts.at(state); }
    /// Resources of a team's tasks with live leases.
    [[nodiscard]] Usage usageOf(std::string_view team) const;

    /// Appends every task to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid task.
    bool load(const wire::TaskRecord &record);

private:
    /// The task whose live lease a report names, or the result with which the report is rejected.
    struct Target
    {
        Map::iterator it;
        ApplyResult refusal;
        bool refused = false;
    };

    Target findTarget(std::string_view task, std::uint64_t epoch);
    [[nodiscard]] bool fitsQuota(const Task &task) const;
    void setState(Map::iterator it, wire::TaskState state, std::int64_t nowMicroseconds);
    /// Ends the live lease. The new state is `next`, or "cancelled" if a cancellation was requested
    /// and `next` is not "failed".
    ApplyResult release(Map::iterator it, wire::TaskState next, std::int64_t nowMicroseconds);
    void addUsage(const Task &task);
    void removeUsage(const Task &task);

    const StateLimits &m_limits;
    const Teams &m_teams;
    /// Texts shared by tasks. Declared before `m_tasks`, whose handles must be destroyed first.
    TextPool m_texts;
    Map m_tasks;
    std::map<std::string, Usage, std::less<>> m_usage;
    std::set<std::pair<std::int64_t, std::string>> m_ended;
    std::array<std::size_t, wire::TaskState_ARRAYSIZE> m_counts {};
};

/// Stable lower-case name of a task's state.
std::string_view taskStateName(wire::TaskState state);
/// Stable lower-case name of a reason why a task can't run.
std::string_view unschedulableReasonName(wire::UnschedulableReason reason);

} // namespace acaciafork::state
