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

/// Plans that move all work from one building to another, rack by rack. At most one is in progress.
class Moves
{
public:
    /// Plans by id.
    using Map = std::map<std::string, wire::Move, std::less<>>;

    Moves(const StateLimits &limits, const Racks &racks)
        : m_limits(limits)
        , m_racks(racks)
    { }

    /// Adds a plan (expected version 0), or replaces one that has not been started.
    ApplyResult plan(const wire::PlanMove &command, std::int64_t nowMicroseconds);
    /// Starts, pauses, resumes or rolls back a plan.
    ApplyResult change(const wire::ChangeMove &command, std::int64_t nowMicroseconds);
    /// Marks the next step as done (or as not done, while rolling back), provided that its rack has
    /// reached the state that the step leads to.
    ApplyResult finishStep(const wire::FinishMoveStep &command, std::int64_t nowMicroseconds);

    /// Returns the plan with that id, or nullptr.
    [[nodiscard]] const wire::Move *find(std::string_view id) const;
    /// Returns the plan that is running, paused or rolling back, or nullptr.
    [[nodiscard]] const wire::Move *inProgress() const;
    /// All plans kept.
    [[nodiscard]] const Map &all() const { return m_moves; }

    /// Appends every plan to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not a valid plan.
    bool load(const wire::Move &record);

private:
    [[nodiscard]] std::string validationError(const wire::Move &move) const;
    /// True when the rack has reached the state that the step, or its rollback, leads to.
    [[nodiscard]] bool isStepTargetReached(const wire::MoveStep &step, bool isRollingBack) const;
    /// Removes the plan that ended first, to make room for another; returns false if no plan has
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
/// Number of steps of a move that are done; steps are completed in order.
int stepsDone(const wire::Move &move);

} // namespace acaciafork::state
