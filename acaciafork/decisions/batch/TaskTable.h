#pragma once

#include <array>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// What the scheduler wants a leased task to do.
enum class TaskIntent : std::uint8_t {
    Run,
    Checkpoint, ///< save and end, then run elsewhere
    Stop, ///< end as soon as can be
};

/// Throttle of a task that is not held back, in thousandths.
inline constexpr std::int16_t unthrottledPermille = 1000;

/// One batch job or service task that has not ended.
struct Task
{
    TaskName name;
    Index team = noIndex;
    Index family = noIndex;
    /// Service it belongs to; noIndex for batch jobs.
    Index service = noIndex;
    Index worker = noIndex;
    /// Position in the worker's task list.
    Index workerPosition = noIndex;

    Resources declared;
    /// Size that the present lease takes at its worker; also of a proposed lease.
    Resources granted;
    /// Largest use that was reported.
    Resources peak;
    /// Least memory to grant, after a failure for lack of it.
    std::int32_t memoryFloorMb = 0;
    Duration declaredRunTime {};
    /// Run time of earlier leases that a checkpoint kept, and of the present one up to its start.
    Duration attained {};

    Timestamp queuedAt {};
    /// Worker kept clear for it while it waits; noIndex when none is.
    Index reserved = noIndex;
    Timestamp startedAt {};
    /// When the latest checkpoint of the present lease was recorded.
    Timestamp checkpointedAt {};
    /// After this moment the lease has surely expired at the worker.
    Timestamp expiresAt {};
    /// Earliest moment at which a call may be repeated.
    Timestamp callDueAt {};
    /// Moment at which a checkpoint call turns into a stop.
    Timestamp stopDueAt {};

    LeaseEpoch epoch;
    CheckpointId checkpoint;
    /// Newest checkpoint that was proposed to be recorded.
    CheckpointId checkpointProposed;
    /// Incarnation of the worker that the lease was started under.
    Incarnation incarnation;
    /// Stamp of the report that listed the task last.
    std::uint64_t lastListedStamp = 0;

    /// Numbers of the first and the latest report of the present incarnation that listed it
    /// running.
    std::uint64_t firstSeq = 0;
    std::uint64_t lastSeq = 0;

    /// Workers at which it failed, latest first.
    std::array<Index, 3> failedWorkers { noIndex, noIndex, noIndex };
    /// Attempts that count against the job, and all that failed.
    std::uint16_t failures = 0;
    std::uint16_t failedAttempts = 0;
    /// Throttle asked for, in thousandths of the granted processor time.
    std::int16_t throttlePermille = unthrottledPermille;
    TaskPhase phase = TaskPhase::Queued;
    TaskIntent intent = TaskIntent::Run;
    bool urgent = false;
    bool cancelRequested = false;
    /// This leader saw all of its runs, so that its run time is known.
    bool historyKnown = false;
    /// Its endpoint was told to leave.
    bool leaving = false;
    /// Its rack drains, and it ends sooner than it could be moved.
    bool finishesBeforeMove = false;
    /// A lease or an outcome of this task waits for its commit.
    bool proposed = false;
    /// This leader committed the lease, so it may send the first start of the epoch.
    bool mayStart = false;
    /// A start of this epoch was sent, or may have been by an earlier leader.
    bool startSent = false;
    /// RecordStarted is committed or proposed for this epoch.
    bool startRecorded = false;

    /// True while the task takes room at a worker.
    [[nodiscard]] bool onWorker() const { return worker != noIndex; }
    /// True for a task of a service.
    [[nodiscard]] bool isService() const { return service != noIndex; }
    /// True once the lease is committed.
    [[nodiscard]] bool leased() const
    {
        return phase == TaskPhase::Leased || phase == TaskPhase::Running;
    }
};

/// Tasks by dense index, with freed places used again.
class TaskTable
{
public:
    /// Adds a task under a name that must be new.
    Index add(const TaskName &name);
    /// Forgets a task.
    void remove(Index index);

    /// Index of a name, or noIndex.
    [[nodiscard]] Index find(const TaskName &name) const;
    /// The task at an index that find() or add() gave.
    Task &operator[](Index index) { return m_tasks[index]; }
    const Task &operator[](Index index) const { return m_tasks[index]; }

    /// How many tasks there are.
    [[nodiscard]] std::size_t size() const { return m_indexes.size(); }
    /// How many places there are, free ones among them; their tasks have empty names.
    [[nodiscard]] std::size_t indexCount() const { return m_tasks.size(); }

private:
    std::vector<Task> m_tasks;
    std::vector<Index> m_freeIndexes;
    std::unordered_map<TaskName, Index> m_indexes;
};

} // namespace acaciafork::batch
