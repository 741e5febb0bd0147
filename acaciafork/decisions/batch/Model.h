#pragma once

#include "acaciafork/decisions/batch/Fleet.h"
#include "acaciafork/decisions/batch/InterferenceModel.h"
#include "acaciafork/decisions/batch/Outbox.h"
#include "acaciafork/decisions/batch/PlacementIndex.h"
#include "acaciafork/decisions/batch/SchedulerCounters.h"
#include "acaciafork/decisions/batch/Settings.h"
#include "acaciafork/decisions/batch/SizeEstimator.h"
#include "acaciafork/decisions/batch/TaskTable.h"
#include "acaciafork/decisions/batch/TeamTable.h"
#include "acaciafork/decisions/batch/WaitingQueue.h"

namespace acaciafork::batch {

/// State of the scheduler, shared by the classes that make its decisions.
struct Model
{
    explicit Model(const SchedulerSettings &schedulerSettings);
    Model(const Model &) = delete;
    Model &operator=(const Model &) = delete;

    /// Allocates room on a worker to a task; the worker must have enough free room.
    void allocateRoom(Index task, Index worker, const Resources &granted);
    /// Releases the room that a task occupies on its worker.
    void releaseRoom(Index task);
    /// Records that a task ran on its worker, so that delayed usage reports can be attributed.
    void recordPastRun(const Task &task);
    /// Queues a task that has no lease; `atFront` is for tasks that held a lease before.
    void enqueue(Index task, bool atFront);
    /// Size to grant to a task with its next lease.
    [[nodiscard]] Resources sizeFor(const Task &task) const;
    /// Name of the service that a task belongs to; empty for batch jobs.
    [[nodiscard]] ServiceName serviceName(const Task &task) const;
    /// Updates whether a worker is present and its capacity, and the total capacity with them.
    void setPresence(Index worker, bool present, const Resources &room);
    /// Updates the placement index for all workers of a rack that changed.
    void refreshRack(Index rack);

    SchedulerSettings settings;
    /// Time of the event being handled.
    Timestamp now {};
    /// Expected time at which the move starts to drain its next rack; max() when there is none.
    Timestamp nextDrainExpectedAt = Timestamp::max();
    /// The move has tasks to relocate that find no room; new jobs that are not urgent leave the
    /// remaining room to them.
    bool moveNeedsRoom = false;
    /// Number of the worker report being handled, counted over all workers.
    std::uint64_t reportStamp = 0;
    TaskTable tasks;
    Fleet fleet;
    PlacementIndex index { &fleet };
    TeamTable teams;
    NameIndex<FamilyName> families;
    NameIndex<ServiceName> services;
    /// Tasks of each service, including idle ones.
    std::vector<std::vector<Index>> serviceTasks;
    WaitingQueue queue { &tasks };
    SizeEstimator sizes;
    InterferenceModel interference;
    Outbox outbox;
    SchedulerCounters counters;
};

} // namespace acaciafork::batch
