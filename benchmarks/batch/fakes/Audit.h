#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/batch/Batch.h"

namespace acaciafork::batch::fakes {

/// Counts, from what workers really do, whether the promises hold. It knows nothing of the
/// scheduler.
class Audit
{
public:
    /// A worker begins to run a task at an epoch.
    void onStart(const TaskName &task, LeaseEpoch epoch, CheckpointId from, bool service);
    /// A worker no longer runs a task at an epoch.
    void onEnd(const TaskName &task, LeaseEpoch epoch);
    /// A worker's tasks take `granted` of `room`.
    void onRoom(const Resources &granted, const Resources &room);
    /// A task wrote a checkpoint.
    void onCheckpoint(const TaskName &task, CheckpointId checkpoint);
    /// A task came to its natural end at a worker.
    void onFinish(const TaskName &task);
    /// A task's end was committed.
    void onOutcome(const TaskName &task);

    /// Starts of a task while it ran elsewhere.
    std::uint64_t runsInTwoPlaces = 0;
    /// Epochs that began to run more than once.
    std::uint64_t repeatedEpochs = 0;
    /// Starts from a checkpoint that the task never wrote.
    std::uint64_t strangeCheckpoints = 0;
    /// Starts after the task's end was committed, and tasks that still ran when it was.
    std::uint64_t runsPastOutcome = 0;
    /// Starts after the task came to its end at a worker. Not a violation by itself: a worker that
    /// is lost with the news leaves no way to know.
    std::uint64_t startsAfterFinish = 0;
    /// Moments at which a worker's tasks took more than its room.
    std::uint64_t overRoom = 0;
    /// Starts in all.
    std::uint64_t starts = 0;

    /// Sum of everything that must never happen.
    [[nodiscard]] std::uint64_t violations() const
    {
        return runsInTwoPlaces + repeatedEpochs + strangeCheckpoints + runsPastOutcome + overRoom;
    }

private:
    struct History
    {
        std::set<std::uint64_t> running;
        std::uint64_t lastEpoch = 0;
        std::uint64_t newestCheckpoint = 0;
        bool finished = false;
        bool outcome = false;
    };

    std::unordered_map<TaskName, History> m_tasks;
};

} // namespace acaciafork::batch::fakes
