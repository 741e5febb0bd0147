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

/// Tasks and their leases. A task has at most one live lease; each lease has a higher epoch than
/// the one before; only the current epoch may change the task; the next lease is given only once
/// the last one is known to have ended, and names the last checkpoint recorded.
class Tasks
{
public:
    /// Tasks by id.
    using Map = std::map<std::string, Task, std::less<>>;

    /// Resources under live leases of one team.
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

    /// Queues a task. Submitting the same again changes nothing; the same id with another content
    /// is a conflict.
    ApplyResult submit(const wire::SubmitTask &command, std::int64_t nowMicroseconds);
    /// Gives the next lease.
    ApplyResult lease(const wire::LeaseTask &command, std::int64_t nowMicroseconds);
    /// The worker has begun.
    ApplyResult started(const wire::TaskStarted &command, std::int64_t nowMicroseconds);
    /// A checkpoint was written.
    ApplyResult checkpointed(const wire::TaskCheckpointed &command, std::int64_t nowMicroseconds);
    /// The lease has ended without the task's end: the task can be leased again.
    ApplyResult stopped(const wire::TaskStopped &command, std::int64_t nowMicroseconds);
    /// The task has ended well.
    ApplyResult finished(const wire::TaskFinished &command, std::int64_t nowMicroseconds);
    /// The task has failed at this worker, for good or not.
    ApplyResult failed(const wire::TaskFailed &command, std::int64_t nowMicroseconds);
    /// Cancels at once without a live lease; else once the lease is stopped.
    ApplyResult cancel(const wire::CancelTask &command, std::int64_t nowMicroseconds);
    /// The task can never run; only without a live lease.
    ApplyResult unschedulable(const wire::TaskUnschedulable &command, std::int64_t nowMicroseconds);

    /// Forgets tasks that ended longer ago than the window.
    void expire(std::int64_t nowMicroseconds);

    /// Task of that id, or nullptr.
    [[nodiscard]] const Task *find(std::string_view task) const;
    /// Every task.
    [[nodiscard]] const Map &all() const { return m_tasks; }
    /// How many tasks are in a state.
    [[nodiscard]] std::size_t count(wire::TaskState state) const { return m_counts.at(state); }
    /// What the live leases of a team take.
    [[nodiscard]] Usage usageOf(std::string_view team) const;

    /// Appends every task to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it is no valid task.
    bool load(const wire::TaskRecord &record);

private:
    /// A task whose current lease a report names, or the result that refuses the report.
    struct Target
    {
        Map::iterator it;
        ApplyResult refusal;
        bool refused = false;
    };

    Target findTarget(std::string_view task, std::uint64_t epoch);
    [[nodiscard]] bool fitsQuota(const Task &task) const;
    void setState(Map::iterator it, wire::TaskState state, std::int64_t nowMicroseconds);
    /// Ends the live lease: back to `next`, or to cancelled if that was asked for meanwhile.
    ApplyResult release(Map::iterator it, wire::TaskState next, std::int64_t nowMicroseconds);
    void addUsage(const Task &task);
    void removeUsage(const Task &task);

    const StateLimits &m_limits;
    const Teams &m_teams;
    /// Texts that tasks share; declared before the tasks, which let go of them at their end.
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
