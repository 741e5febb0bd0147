#pragma once

#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// A task that ran on a worker, with the first and last report that listed the task as running.
struct PastRun
{
    Index family = noIndex;
    std::uint64_t firstSeq = 0;
    std::uint64_t lastSeq = 0;
};

/// State of one worker.
struct Worker
{
    Index rack = noIndex;
    Incarnation incarnation;
    /// Number and arrival time of the latest accepted report; leases are based on it.
    std::uint64_t seq = 0;
    Timestamp reportedAt {};
    Resources room;
    /// Resources granted to its tasks, including proposed leases. Exceeds `room` only when the
    /// worker reports less capacity than before.
    Resources granted;
    /// Tasks that occupy room here.
    std::vector<Index> tasks;
    /// Tasks that recently ended in this incarnation, to attribute delayed usage reports.
    std::vector<PastRun> pastRuns;
    /// Numbers of the latest accepted usage reports, used to drop duplicates.
    std::vector<std::uint64_t> recentUsageSeqs;
    /// Smoothed relative latency increase of the most affected service over running alone, and the
    /// smoothed variance of single measurements.
    float pressure = 0;
    float pressureVariance = 0;
    /// Consecutive usage reports above the upper and below the lower bound of pressure.
    std::uint16_t highPressureReports = 0;
    std::uint16_t lowPressureReports = 0;
    /// Number of its tasks that are throttled.
    std::uint16_t throttledTasks = 0;
    /// When a step against pressure was last taken or undone.
    Timestamp lastPressureStepAt {};

    /// Different jobs that failed here consecutively and are not known to fail on other workers.
    std::vector<Index> failureStreak;
    /// While quarantined: time of the next probe, the delay before it, and the task used as probe.
    Timestamp probeDueAt {};
    Duration probeBackoff {};
    Index probeTask = noIndex;

    /// The worker has reported to this leader recently.
    bool present = false;
    /// The worker gets no new work until a probe succeeds.
    bool quarantined = false;
    /// Task that the worker is reserved for; noIndex when there is none.
    Index reservedFor = noIndex;

    /// Position in the placement index, which maintains it.
    Index indexBucket = noIndex;
    Index indexPosition = noIndex;

    /// Resources available to new tasks.
    [[nodiscard]] Resources freeRoom() const { return room - granted; }
};

/// State of one rack.
struct Rack
{
    RackRecord record;
    Index building = noIndex;
    Index zone = noIndex;
    std::vector<Index> workers;
    /// Number of tasks that occupy room on its workers.
    std::uint32_t tasks = 0;
    /// The running move is draining the rack.
    bool moveDraining = false;
    /// The running move will drain the rack later; placement considers its workers last.
    bool drainPlanned = false;
    /// Values of draining() and drainPlanned before the latest change of the move.
    bool wasDraining = false;
    bool wasDrainPlanned = false;
    /// When the move started to drain the rack.
    Timestamp drainStartedAt {};
    /// A proposed RackDrained or RackRetired awaits its commit.
    bool proposed = false;

    /// The record is in the replicated state; otherwise the rack is known only from worker reports.
    bool recorded = false;

    /// Returns true when the rack accepts no new work and its tasks are to leave.
    [[nodiscard]] bool draining() const
    {
        return record.state != RackState::Active || moveDraining;
    }
};

/// Workers and racks, and the assignment of workers to racks.
class Fleet
{
public:
    /// Returns the worker of that name; an unknown worker is added.
    Index internWorker(const WorkerName &name);
    /// Returns the worker of that name, or noIndex.
    [[nodiscard]] Index findWorker(const WorkerName &name) const
    {
        return m_workerNames.find(name);
    }
    /// Returns the rack of that name, or noIndex.
    [[nodiscard]] Index findRack(const RackName &name) const { return m_rackNames.find(name); }

    /// Adds or replaces the record of a rack.
    Index putRack(const RackRecord &record);
    /// Assigns a worker to a rack.
    void setRack(Index worker, Index rack);
    /// Adds a task to a worker's list and its granted resources to the worker's sum.
    /// @return its position in the list
    Index attach(Index worker, Index task, const Resources &granted);
    /// Removes the task at `position` from the list.
    /// @return the task that was moved to that position, or noIndex
    Index detach(Index worker, Index position, const Resources &granted);

    Worker &worker(Index index) { return m_workers[index]; }
    [[nodiscard]] const Worker &worker(Index index) const { return m_workers[index]; }
    Rack &rack(Index index) { return m_racks[index]; }
    [[nodiscard]] const Rack &rack(Index index) const { return m_racks[index]; }
    [[nodiscard]] const WorkerName &workerName(Index i) const { return m_workerNames.name(i); }
    [[nodiscard]] Index workerCount() const { return static_cast<Index>(m_workers.size()); }
    [[nodiscard]] Index zoneCount() const { return static_cast<Index>(m_zones.size()); }
    [[nodiscard]] Index rackCount() const { return static_cast<Index>(m_racks.size()); }

    /// Why no worker of a rack that is not retired can ever hold `size`; None when one can, or when
    /// no worker is known yet.
    [[nodiscard]] UnschedulableReason unschedulableReason(const Resources &size) const;
    /// Number of tasks on workers whose rack is not known yet, as after a change of leader.
    [[nodiscard]] std::uint32_t tasksWithoutRack() const { return m_tasksWithoutRack; }
    /// Returns true when the worker may get new work.
    [[nodiscard]] bool eligible(Index worker) const;

private:
    NameIndex<WorkerName> m_workerNames;
    NameIndex<RackName> m_rackNames;
    NameIndex<BuildingName> m_buildings;
    NameIndex<ZoneName> m_zones;
    std::vector<Worker> m_workers;
    std::vector<Rack> m_racks;
    std::uint32_t m_tasksWithoutRack = 0;
};

} // namespace acaciafork::batch
