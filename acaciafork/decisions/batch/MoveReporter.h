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
    void addHindrances(const Rack &rack, MoveView *view) const;
    [[nodiscard]] HindranceKind kindOf(const Task &task) const;

    const Model *m_model;
};

} // namespace acaciafork::batch
