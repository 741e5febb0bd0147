#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class Racks;
class SnapshotWriter;

/// Plans that move everything from one building to another, rack by rack. At most one is under way.
class Moves
{
public:
    /// Plans by id.
    using Map = std::map<std::string, wire::Move, std::less<>>;

    Moves(const StateLimits &limits, const Racks &racks)
        : m_limits(limits)
        , m_racks(racks)
    { }

    /// Records a plan (expected version 0), or replaces one that has not been started.
    ApplyResult plan(const wire::PlanMove &command, std::int64_t nowMicroseconds);
    /// Starts, pauses, resumes or rolls back.
    ApplyResult change(const wire::ChangeMove &command, std::int64_t nowMicroseconds);
    /// Marks the next step done (or undone, while rolling back), once its rack is as the step
    /// wants.
    ApplyResult finishStep(const wire::FinishMoveStep &command, std::int64_t nowMicroseconds);

    /// Plan of that id, or nullptr.
    [[nodiscard]] const wire::Move *find(std::string_view id) const;
    /// The plan that is running, paused or rolling back, or nullptr.
    [[nodiscard]] const wire::Move *inProgress() const;
    /// Every plan kept.
    [[nodiscard]] const Map &all() const { return m_moves; }

    /// Appends every plan to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it is no valid plan.
    bool load(const wire::Move &record);

private:
    [[nodiscard]] std::string validationError(const wire::Move &move) const;
    /// True when the rack of a step is as the step (or its undoing) wants.
    [[nodiscard]] bool isStepTargetReached(const wire::MoveStep &step, bool isRollingBack) const;
    /// Makes room for one more plan by dropping the one that ended first; false when none has
    /// ended.
    bool evictOldestEnded();

    const StateLimits &m_limits;
    const Racks &m_racks;
    Map m_moves;
};

/// Stable lower-case name of a move's state.
std::string_view moveStateName(wire::MoveState state);
/// Stable lower-case name of a step's action.
std::string_view moveActionName(wire::MoveAction action);
/// How many steps of a move are done; they are done in order.
int stepsDone(const wire::Move &move);

} // namespace acaciafork::state
