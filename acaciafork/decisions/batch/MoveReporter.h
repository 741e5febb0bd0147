#pragma once

#include "acaciafork/decisions/batch/Model.h"
#include "acaciafork/decisions/batch/MoveView.h"

namespace acaciafork::batch {

/// Tells operators how the move stands, when it will end, and what is in its way.
class MoveReporter
{
public:
    explicit MoveReporter(const Model *model);

    /// The move as it stands.
    [[nodiscard]] MoveView view(const MoveRecord &move, const MoveProjection &projection) const;

private:
    /// Sets the projection to what the room that stays allows, where that is later.
    void boundByCapacity(MoveView *view) const;
    /// Time until what does not fit into the room that stays has run out, by the run times that the
    /// fraction `q` of each family stays within.
    [[nodiscard]] Duration timeUntilRoom(double q) const;
    /// How long a job runs on, by the run time that the fraction `q` of its family stays within.
    [[nodiscard]] Duration remainingRunTime(const Task &task, double q) const;
    void addBlockers(const Rack &rack, MoveView *view) const;
    [[nodiscard]] BlockerKind blockerKindOf(const Task &task) const;

    const Model *m_model;
};

} // namespace acaciafork::batch
