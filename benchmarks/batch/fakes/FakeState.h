#pragma once

#include <map>
#include <unordered_map>

#include "acaciafork/decisions/batch/Batch.h"

namespace acaciafork::batch::fakes {

/// Stand-in for the replicated state: applies durable changes in order and refuses what does not
/// follow from what was committed.
class FakeState
{
public:
    /// Operators' and teams' side.
    bool submit(const JobRecord &job);
    bool cancel(const TaskName &task);
    void putRack(const RackRecord &rack) { m_racks[rack.rack] = rack; }
    void putPlacement(const PlacementRecord &it) { m_placements[it.service] = it; }
    void putTeam(const TeamRecord &team) { m_teams[team.team] = team; }
    void putMove(const MoveRecord &move) { m_move = move; }

    /// Applies a proposal. @return false when it is refused
    bool apply(const DurableChange &change);
    /// Everything that a new leader starts from.
    [[nodiscard]] RestoredState restored() const;

    /// Jobs by how they ended.
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::unordered_map<TaskName, UnschedulableReason> unschedulable;
    /// Outcomes recorded for a job that had ended already.
    std::uint64_t repeatedOutcomes = 0;

    [[nodiscard]] const TaskRecord *task(const TaskName &task) const;
    [[nodiscard]] std::size_t taskCount() const { return m_tasks.size(); }
    [[nodiscard]] const std::map<RackName, RackRecord> &racks() const { return m_racks; }
    [[nodiscard]] const MoveRecord &move() const { return m_move; }

private:
    bool on(const LeaseTask &it);
    bool on(const RecordStarted &it);
    bool on(const RecordCheckpointed &it);
    bool on(const RecordStopped &it);
    bool on(const RecordFinished &it);
    bool on(const RecordFailed &it);
    bool on(const RecordCancelled &it);
    bool on(const RecordUnschedulable &it);
    bool on(const RackDrained &it);
    bool on(const RackRetired &it);
    bool on(const MoveStepDone &it);
    TaskRecord *leasedAt(const TaskName &task, LeaseEpoch epoch);

    std::unordered_map<TaskName, TaskRecord> m_tasks;
    std::map<RackName, RackRecord> m_racks;
    std::map<ServiceName, PlacementRecord> m_placements;
    std::map<TeamName, TeamRecord> m_teams;
    MoveRecord m_move;
};

} // namespace acaciafork::batch::fakes
