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
    Checkpoint, ///< write a checkpoint and end, then run on another worker
    Stop, ///< end as soon as possible
};

/// Throttle value of a task that is not throttled, in thousandths.
inline constexpr std::int16_t unthrottledPermille = 1000;

/// One batch job that has not ended, or one service task.
struct Task
{
    TaskName name;
    Index team = noIndex;
    Index family = noIndex;
    /// Service that the task belongs to; noIndex for batch jobs.
    Index service = noIndex;
    Index worker = noIndex;
    /// Position in the worker's task list.
    Index workerPosition = noIndex;

    Resources declared;
    /// Resources that the current lease, or a proposed one, occupies on its worker.
    Resources granted;
    /// Largest usage that was reported.
    Resources peak;
    /// Minimum memory to grant; raised after the task ran out of memory.
    std::int32_t memoryFloorMb = 0;
    Duration declaredRunTime {};
    /// Run time of earlier leases that is preserved in a checkpoint.
    Duration attained {};

    Timestamp queuedAt {};
    /// Worker that is reserved for the task while it waits; noIndex when there is none.
    Index reserved = noIndex;
    Timestamp startedAt {};
    /// When the latest checkpoint of the current lease was recorded.
    Timestamp checkpointedAt {};
    /// After this time the lease is guaranteed to have expired on the worker.
    Timestamp expiresAt {};
    /// Earliest time at which a worker call may be repeated.
    Timestamp callDueAt {};
    /// Time at which the task is stopped if its checkpoint has not completed.
    Timestamp stopDueAt {};

    LeaseEpoch epoch;
    CheckpointId checkpoint;
    /// Newest checkpoint for which a RecordCheckpointed was proposed.
    CheckpointId checkpointProposed;
    /// Incarnation of the worker in which the lease was started.
    Incarnation incarnation;
    /// Value of Model::reportStamp for the latest report that listed the task.
    std::uint64_t lastListedStamp = 0;

    /// Numbers of the first and the latest report of the current incarnation that listed the task
    /// as running.
    std::uint64_t firstSeq = 0;
    std::uint64_t lastSeq = 0;

    /// Workers on which the task failed, latest first.
    std::array<Index, 3> failedWorkers { noIndex, noIndex, noIndex };
    /// Number of failed attempts that count against the job, and of all failed attempts.
    std::uint16_t failures = 0;
    std::uint16_t failedAttempts = 0;
    /// Requested throttle, in thousandths of the granted processor time.
    std::int16_t throttlePermille = unthrottledPermille;
    TaskPhase phase = TaskPhase::Queued;
    TaskIntent intent = TaskIntent::Run;
    bool urgent = false;
    bool cancelRequested = false;
    /// This leader observed all runs of the task, so that its total run time is known.
    bool historyKnown = false;
    /// The endpoint of the task was told to leave.
    bool leaving = false;
    /// The rack is draining, and the task is expected to end before it could be moved.
    bool finishesBeforeMove = false;
    /// A proposed lease or outcome of this task awaits its commit.
    bool proposed = false;
    /// The lease was committed under this leader, which may therefore send the first start.
    bool mayStart = false;
    /// A start of this epoch was sent, or may have been sent by an earlier leader.
    bool startSent = false;
    /// RecordStarted was proposed or committed for this epoch.
    bool startRecorded = false;

    /// Returns true while the task occupies room on a worker.
    [[nodiscard]] bool onWorker() const { return worker != noIndex; }
    /// Returns true for a service task.
    [[nodiscard]] bool isService() const { return service != noIndex; }
    /// Returns true while the task has a committed lease.
    [[nodiscard]] bool leased() const
    {
        return phase == TaskPhase::Leased || phase == TaskPhase::Running;
    }
};

/// Tasks by dense index; indexes of removed tasks are reused.
class TaskTable
{
public:
    /// Adds a task; its name must be new.
    Index add(const TaskName &name);
    /// Removes a task that occupies no room on a worker.
    void remove(Index index);

    /// Returns the index of a name, or noIndex.
    [[nodiscard]] Index find(const TaskName &name) const;
    /// Returns the task at an index obtained from find() or add().
    Task &operator[](Index index) { return m_tasks[index]; }
    const Task &operator[](Index index) const { return m_tasks[index]; }

    /// Number of tasks.
    [[nodiscard]] std::size_t size() const { return m_indexes.size(); }
    /// Number of indexes, including free ones, whose tasks have empty names.
    [[nodiscard]] std::size_t indexCount() const { return m_tasks.size(); }

private:
    std::vector<Task> m_tasks;
    std::vector<Index> m_freeIndexes;
    std::unordered_map<TaskName, Index> m_indexes;
};

} // namespace acaciafork::batch
