#pragma once

#include "acaciafork/decisions/batch/Model.h"
#include "acaciafork/decisions/batch/MoveView.h"

namespace acaciafork::batch {

/// Reports to operators the progress of the move, its projected end and the tasks that block it.
class MoveReporter
{
public:
    explicit MoveReporter(const Model *model);

    /// Builds the current view of the move.
    [[nodiscard]] MoveView view(const MoveRecord &move, const MoveProjection &projection) const;

private:
    /// Delays the projected end if capacity is the limit: the workers that stay may have room for
    /// all tasks only after the projected time.
    void boundByCapacity(MoveView *view) const;
    /// Time until enough jobs have ended for the rest to fit on the workers that stay. Run times
    /// are taken as the quantile `q` of each family.
    [[nodiscard]] Duration timeUntilRoom(double q) const;
    /// Remaining run time of a job, with its run time taken as the quantile `q` of its family.
    [[nodiscard]] Duration remainingRunTime(const Task &task, double q) const;
    void addBlockers(const Rack &rack, MoveView *view) const;
    [[nodiscard]] BlockerKind blockerKindOf(const Task &task) const;

    const Model *m_model;
};

} // namespace acaciafork::batch
