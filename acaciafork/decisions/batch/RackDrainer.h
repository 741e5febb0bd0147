#pragma once

#include "acaciafork/decisions/batch/MoveProjection.h"
#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Drains racks, on request of operators and in the order of the move, and proposes their new state
/// once they are empty. Batch jobs are checkpointed, or run to their end if that is sooner;
/// services are left to ServicePlanner.
class RackDrainer
{
public:
    RackDrainer(Model *model, TaskLifecycle *lifecycle);

    /// Adds or replaces the record of a rack.
    void put(const RackRecord &rack);
    /// Replaces the record of the move.
    void putMove(const MoveRecord &move);
    /// Called when a proposal about a rack or the move was committed or rejected.
    void onCommitted(const PendingChange &pending);
    void onRejected(const PendingChange &pending);

    /// Evicts jobs from draining racks and proposes the changes of state that have become due.
    void tick();

    /// Latest known record of the move.
    [[nodiscard]] const MoveRecord &move() const { return m_move; }
    /// Projection from the drain times measured so far.
    [[nodiscard]] const MoveProjection &projection() const { return m_projection; }

private:
    /// Marks the racks that the move drains now and those that it drains later.
    void markMoveRacks();
    void retireCompletedSteps();
    void markRemainingSteps();
    void drain(Index rack);
    void evictFrom(Index worker, Timestamp drainStartedAt);
    /// Computes the free resources of workers that stay, less those needed by jobs on their way
    /// there.
    void sumFreeRoom();
    /// True when the task will end sooner than it could be checkpointed and restarted elsewhere.
    [[nodiscard]] bool finishesBeforeMove(const Task &task, Timestamp drainStartedAt) const;
    /// True when some worker that stays has room for the task now.
    [[nodiscard]] bool hasRoomElsewhere(const Resources &size);
    void proposeEmptyRack(Index rack);
    void proposeCompletedSteps();

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    MoveRecord m_move;
    MoveProjection m_projection;
    /// Free resources of workers that stay, less those needed by jobs on their way there; valid in
    /// this tick.
    Resources m_room;
    /// Number of jobs between eviction and their next lease.
    std::int32_t m_pendingEvictions = 0;
    /// Number of known racks when the racks of the move were last marked.
    Index m_markedRackCount = 0;
    bool m_stepProposed = false;
};

} // namespace acaciafork::batch
