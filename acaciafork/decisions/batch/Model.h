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

/// What the scheduler knows, shared by the classes that decide on parts of it.
struct Model
{
    explicit Model(const SchedulerSettings &schedulerSettings);
    Model(const Model &) = delete;
    Model &operator=(const Model &) = delete;

    /// Gives a task's room at a worker to it; the worker must have that room.
    void allocateRoom(Index task, Index worker, const Resources &granted);
    /// Gives a task's room back.
    void releaseRoom(Index task);
    /// Keeps that a task ran at its worker, for use that is reported late.
    void recordPastRun(const Task &task);
    /// Puts a task that has no lease into the queue.
    void enqueue(Index task, bool atFront);
    /// Size to grant to a task at its next lease.
    [[nodiscard]] Resources sizeFor(const Task &task) const;
    /// Name of the service that a task belongs to; empty for batch jobs.
    [[nodiscard]] ServiceName serviceName(const Task &task) const;
    /// Counts a worker's room in or out as it appears, changes and goes silent.
    void setPresence(Index worker, bool present, const Resources &room);
    /// Says which rack changed, so that its workers are indexed anew.
    void refreshRack(Index rack);

    SchedulerSettings settings;
    /// Time of the event in progress.
    Timestamp now {};
    /// When the next rack that the move will empty is expected to be; max() without a move.
    Timestamp nextDrainExpectedAt = Timestamp::max();
    /// The move has work to bring over that finds no room; new jobs leave what there is to it.
    bool moveNeedsRoom = false;
    /// Number of the worker report in progress, over all workers.
    std::uint64_t reportStamp = 0;
    TaskTable tasks;
    Fleet fleet;
    PlacementIndex index { &fleet };
    TeamTable teams;
    NameIndex<FamilyName> families;
    NameIndex<ServiceName> services;
    /// Tasks of each service, idle ones among them.
    std::vector<std::vector<Index>> serviceTasks;
    WaitingQueue queue { &tasks };
    SizeEstimator sizes;
    InterferenceModel interference;
    Outbox outbox;
    SchedulerCounters counters;
};

} // namespace acaciafork::batch
