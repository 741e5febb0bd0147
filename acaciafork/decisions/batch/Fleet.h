#pragma once

#include <vector>

#include "acaciafork/decisions/batch/NameIndex.h"
#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// Task that ran at a worker, between two of its reports.
struct PastRun
{
    Index family = noIndex;
    std::uint64_t firstSeq = 0;
    std::uint64_t lastSeq = 0;
};

/// One worker of the platform.
struct Worker
{
    Index rack = noIndex;
    Incarnation incarnation;
    /// Number of the latest report taken, and when it arrived; leases count from it.
    std::uint64_t seq = 0;
    Timestamp reportedAt {};
    Resources room;
    /// Sum of what its tasks were granted, proposed leases among them. Never over `room`, but for a
    /// worker that reports less room than it once had.
    Resources granted;
    /// Tasks that take room here.
    std::vector<Index> tasks;
    /// Tasks that ended a short while ago in this incarnation, for use that is reported late.
    std::vector<PastRun> pastRuns;
    /// Numbers of the latest usage reports taken, so that repeats are dropped.
    std::vector<std::uint64_t> recentUsageSeqs;
    /// Smoothed worst latency of its services over that of running alone, less one, and the
    /// smoothed square of what single measurements are off from it.
    float pressure = 0;
    float pressureVariance = 0;
    /// Usage reports in a row above the upper and below the lower bound of pressure.
    std::uint16_t highPressureReports = 0;
    std::uint16_t lowPressureReports = 0;
    /// Tasks of it that are throttled.
    std::uint16_t throttledTasks = 0;
    /// Latest step against pressure, or latest lifting of one.
    Timestamp lastPressureStepAt {};

    /// Different jobs in a row that failed here and are not known to fail elsewhere.
    std::vector<Index> failureStreak;
    /// When quarantined: the next probe, the wait before it, and the task that probes.
    Timestamp probeDueAt {};
    Duration probeBackoff {};
    Index probeTask = noIndex;

    /// Reported to this leader, and not silent for too long.
    bool present = false;
    /// Takes no new work until a probe succeeds.
    bool quarantined = false;
    /// Kept clear for a task that has waited too long; noIndex when it is not.
    Index reservedFor = noIndex;

    /// Place in the placement index; kept by it.
    Index indexBucket = noIndex;
    Index indexPosition = noIndex;

    /// What a new task may take.
    [[nodiscard]] Resources freeRoom() const { return room - granted; }
};

/// One rack.
struct Rack
{
    RackRecord record;
    Index building = noIndex;
    Index zone = noIndex;
    std::vector<Index> workers;
    /// Tasks that take room at its workers.
    std::uint32_t tasks = 0;
    /// The running move empties it now.
    bool moveDraining = false;
    /// The running move will empty it later; its workers come last in a search.
    bool drainPlanned = false;
    /// The two as they were before the latest change of the move.
    bool wasDraining = false;
    bool wasDrainPlanned = false;
    /// When its drain by the move began.
    Timestamp drainStartedAt {};
    /// RackDrained or RackRetired waits for its commit.
    bool proposed = false;

    /// The state told its record; else it is known by its workers' reports alone.
    bool recorded = false;

    /// Work leaves this rack.
    [[nodiscard]] bool draining() const
    {
        return record.state != RackState::Active || moveDraining;
    }
};

/// Workers and racks, and who stands where.
class Fleet
{
public:
    /// Worker of that name, new when it was not seen before.
    Index internWorker(const WorkerName &name);
    /// Worker of that name, or noIndex.
    [[nodiscard]] Index findWorker(const WorkerName &name) const
    {
        return m_workerNames.find(name);
    }
    /// Rack of that name, or noIndex.
    [[nodiscard]] Index findRack(const RackName &name) const { return m_rackNames.find(name); }

    /// Adds or replaces the record of a rack.
    Index putRack(const RackRecord &record);
    /// Says that a worker stands in a rack.
    void setRack(Index worker, Index rack);
    /// Adds a task to a worker's list, taking what it was granted.
    /// @return its position in the list
    Index attach(Index worker, Index task, const Resources &granted);
    /// Takes the task at `position` off the list.
    /// @return the task that took its position, or noIndex
    Index detach(Index worker, Index position, const Resources &granted);

    Worker &worker(Index index) { return m_workers[index]; }
    [[nodiscard]] const Worker &worker(Index index) const { return m_workers[index]; }
    Rack &rack(Index index) { return m_racks[index]; }
    [[nodiscard]] const Rack &rack(Index index) const { return m_racks[index]; }
    [[nodiscard]] const WorkerName &workerName(Index i) const { return m_workerNames.name(i); }
    [[nodiscard]] Index workerCount() const { return static_cast<Index>(m_workers.size()); }
    [[nodiscard]] Index zoneCount() const { return static_cast<Index>(m_zones.size()); }
    [[nodiscard]] Index rackCount() const { return static_cast<Index>(m_racks.size()); }

    /// Why no worker that stays could ever hold `size`; None when one could, or none is known yet.
    [[nodiscard]] UnschedulableReason unschedulableReason(const Resources &size) const;
    /// Tasks at workers whose rack is not known yet, as after a change of leader.
    [[nodiscard]] std::uint32_t tasksWithoutRack() const { return m_tasksWithoutRack; }
    /// True when the worker may be given new work.
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
