#pragma once

#include "acaciafork/decisions/batch/MoveProjection.h"
#include "acaciafork/decisions/batch/TaskLifecycle.h"

namespace acaciafork::batch {

/// Empties racks, by operators' wish and in the order of the move, and reports them empty. Batch
/// work is checkpointed or runs out, whichever ends sooner; services are left to ServicePlanner.
class RackDrainer
{
public:
    RackDrainer(Model *model, TaskLifecycle *lifecycle);

    /// A rack's record changed.
    void put(const RackRecord &rack);
    /// The move's record changed.
    void putMove(const MoveRecord &move);
    /// A proposal about a rack or the move is answered.
    void onCommitted(const PendingChange &pending);
    void onRejected(const PendingChange &pending);

    /// Sends work away from draining racks and proposes what has become true.
    void tick();

    /// The move as last told.
    [[nodiscard]] const MoveRecord &move() const { return m_move; }
    /// How long racks took so far.
    [[nodiscard]] const MoveProjection &projection() const { return m_projection; }

private:
    /// Marks the racks that the move empties now.
    void markMoveRacks();
    void retireCompletedSteps();
    void markRemainingSteps();
    void drain(Index rack);
    void evictFrom(Index worker, Timestamp drainStartedAt);
    /// Sums up the room of workers that stay, less what is on its way there.
    void sumFreeRoom();
    /// True when the task ends before it could be saved and started elsewhere.
    [[nodiscard]] bool finishesBeforeMove(const Task &task, Timestamp drainStartedAt) const;
    /// True when some worker that stays has room for the task now.
    [[nodiscard]] bool hasRoomElsewhere(const Resources &size);
    void proposeEmptyRack(Index rack);
    void proposeCompletedSteps();

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    MoveRecord m_move;
    MoveProjection m_projection;
    /// Room of workers that stay, less what is on its way there; as of this tick.
    Resources m_room;
    /// Jobs between eviction and their next lease.
    std::int32_t m_pendingEvictions = 0;
    /// Racks that were known when the move's racks were marked.
    Index m_markedRackCount = 0;
    bool m_stepProposed = false;
};

} // namespace acaciafork::batch
