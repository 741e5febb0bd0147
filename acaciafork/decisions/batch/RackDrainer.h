#pragma once

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

private:
    /// Marks the racks that the move empties now.
    void markMoveRacks();
    void drain(Index rack);
    void evictFrom(Index worker, std::int32_t *budget);
    /// True when the task ends before it could be saved and started elsewhere.
    [[nodiscard]] bool runsOut(const Task &task) const;
    /// True when some worker that stays has room for the task now.
    [[nodiscard]] bool roomElsewhere(const Task &task);
    void proposeEmpty(Index rack);
    void proposeSteps();

    Model *m_model;
    TaskLifecycle *m_lifecycle;
    MoveRecord m_move;
    bool m_stepProposed = false;
};

} // namespace acaciafork::batch
