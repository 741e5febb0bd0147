#include "acaciafork/state/Moves.h"

#include <algorithm>
#include <array>
#include <set>

#include "acaciafork/state/Racks.h"
#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {
namespace {

constexpr std::array<std::string_view, wire::MoveState_ARRAYSIZE> stateNames {
    "planned", "running", "paused", "finished", "rolling-back", "rolled-back",
};

constexpr std::array<std::string_view, wire::MoveAction_ARRAYSIZE> actionNames {
    "drain",
    "retire",
};

bool isInProgress(wire::MoveState state)
{
    return state == wire::MOVE_STATE_RUNNING || state == wire::MOVE_STATE_PAUSED
            || state == wire::MOVE_STATE_ROLLING_BACK;
}

bool hasEnded(wire::MoveState state)
{
    return state == wire::MOVE_STATE_FINISHED || state == wire::MOVE_STATE_ROLLED_BACK;
}

/// Which changes operators may ask for; the ends are reached by steps alone.
bool isAllowed(wire::MoveState from, wire::MoveState to)
{
    switch (to) {
    case wire::MOVE_STATE_RUNNING:
        return from == wire::MOVE_STATE_PLANNED || from == wire::MOVE_STATE_PAUSED;
    case wire::MOVE_STATE_PAUSED:
        return from == wire::MOVE_STATE_RUNNING;
    case wire::MOVE_STATE_ROLLING_BACK:
        return from == wire::MOVE_STATE_RUNNING || from == wire::MOVE_STATE_PAUSED;
    default:
        return false;
    }
}

void setState(wire::MoveState state, std::int64_t nowMicroseconds, wire::Move *move)
{
    move->set_state(state);
    move->set_version(move->version() + 1);
    move->set_changed_us(nowMicroseconds);
}

/// Steps of a plan that names none: each rack of the building left is drained, then retired, one
/// after the other in order of name. Done here and not by the proposer, so that a resent plan has
/// the same content whatever became of the racks meanwhile.
void addDefaultSteps(const Racks &racks, wire::Move *move)
{
    for (const auto &[name, rack] : racks.all()) {
        if (rack.building() != move->from_building() || rack.state() == wire::RACK_STATE_RETIRED)
            continue;
        for (const wire::MoveAction action :
             { wire::MOVE_ACTION_DRAIN, wire::MOVE_ACTION_RETIRE }) {
            wire::MoveStep *step = move->add_steps();
            step->set_rack(name);
            step->set_action(action);
        }
    }
}

ApplyResult wrongState(const wire::Move &move)
{
    return makeResult(wire::OUTCOME_WRONG_STATE, move.version(),
                      "the move is " + std::string(moveStateName(move.state())));
}

} // namespace

std::string_view moveStateName(wire::MoveState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::string_view moveActionName(wire::MoveAction action)
{
    return actionNames.at(static_cast<std::size_t>(action));
}

int stepsDone(const wire::Move &move)
{
    return static_cast<int>(std::count_if(move.steps().begin(), move.steps().end(),
                                          [](const wire::MoveStep &it) { return it.done(); }));
}

ApplyResult Moves::plan(const wire::PlanMove &command, std::int64_t nowMicroseconds)
{
    wire::Move move = command.move();
    if (move.steps().empty())
        addDefaultSteps(m_racks, &move);
    if (std::string problem = validationError(move); !problem.empty())
        return makeResult(wire::OUTCOME_INVALID, 0, std::move(problem));
    const wire::Move *old = find(move.id());
    const std::uint64_t version = old == nullptr ? 0 : old->version();
    if (version != command.expected_version())
        return versionConflict(command.expected_version(), version);
    if (old != nullptr && old->state() != wire::MOVE_STATE_PLANNED)
        return wrongState(*old);
    if (old == nullptr && m_moves.size() >= m_limits.moves && !evictOldestEnded())
        return makeResult(wire::OUTCOME_FULL, 0, "too many plans");

    const std::string id = move.id();
    wire::Move &stored = m_moves[id];
    stored = std::move(move);
    for (wire::MoveStep &it : *stored.mutable_steps())
        it.set_done(false);
    stored.set_version(version);
    setState(wire::MOVE_STATE_PLANNED, nowMicroseconds, &stored);
    return makeResult(wire::OUTCOME_APPLIED, stored.version());
}

ApplyResult Moves::change(const wire::ChangeMove &command, std::int64_t nowMicroseconds)
{
    const auto it = m_moves.find(command.id());
    if (it == m_moves.end())
        return makeResult(wire::OUTCOME_NOT_FOUND, 0, "no move " + command.id());
    wire::Move &move = it->second;
    if (move.version() != command.expected_version()) {
        ApplyResult result = versionConflict(command.expected_version(), move.version());
        result.set_winner(std::string(moveStateName(move.state())));
        result.set_winner_time_us(move.changed_us());
        return result;
    }
    if (!isAllowed(move.state(), command.target()))
        return wrongState(move);
    const wire::Move *other = inProgress();
    if (other != nullptr && other != &move)
        return makeResult(wire::OUTCOME_WRONG_STATE, move.version(),
                          "move " + other->id() + " is under way");

    // With nothing done there is nothing to roll back.
    const bool isRolledBack =
            command.target() == wire::MOVE_STATE_ROLLING_BACK && stepsDone(move) == 0;
    setState(isRolledBack ? wire::MOVE_STATE_ROLLED_BACK : command.target(), nowMicroseconds,
             &move);
    return makeResult(wire::OUTCOME_APPLIED, move.version());
}

ApplyResult Moves::finishStep(const wire::FinishMoveStep &command, std::int64_t nowMicroseconds)
{
    const auto it = m_moves.find(command.id());
    if (it == m_moves.end())
        return makeResult(wire::OUTCOME_NOT_FOUND, 0, "no move " + command.id());
    wire::Move &move = it->second;
    const bool isRollingBack = move.state() == wire::MOVE_STATE_ROLLING_BACK;
    if (!isRollingBack && move.state() != wire::MOVE_STATE_RUNNING)
        return wrongState(move);
    if (command.step() >= static_cast<std::uint32_t>(move.steps_size()))
        return makeResult(wire::OUTCOME_INVALID, move.version(), "no such step");

    // Forward, the first step that is not done; back, the last one that is.
    const int next = isRollingBack ? stepsDone(move) - 1 : stepsDone(move);
    wire::MoveStep *step = move.mutable_steps(static_cast<int>(command.step()));
    if (step->done() != isRollingBack)
        return makeResult(wire::OUTCOME_ALREADY_APPLIED, move.version());
    if (static_cast<int>(command.step()) != next || !isStepTargetReached(*step, isRollingBack))
        return makeResult(wire::OUTCOME_WRONG_STATE, move.version(), "the step is not reached");

    step->set_done(!isRollingBack);
    const int done = stepsDone(move);
    wire::MoveState state = move.state();
    if (!isRollingBack && done == move.steps_size())
        state = wire::MOVE_STATE_FINISHED;
    if (isRollingBack && done == 0)
        state = wire::MOVE_STATE_ROLLED_BACK;
    setState(state, nowMicroseconds, &move);
    return makeResult(wire::OUTCOME_APPLIED, move.version());
}

const wire::Move *Moves::find(std::string_view id) const
{
    const auto it = m_moves.find(id);
    return it == m_moves.end() ? nullptr : &it->second;
}

const wire::Move *Moves::inProgress() const
{
    const auto it = std::find_if(m_moves.begin(), m_moves.end(), [](const auto &move) {
        return isInProgress(move.second.state());
    });
    return it == m_moves.end() ? nullptr : &it->second;
}

void Moves::save(SnapshotWriter *writer) const
{
    for (const auto &[id, move] : m_moves)
        *writer->record().mutable_move() = move;
}

bool Moves::load(const wire::Move &record)
{
    return isName(record.id()) && record.version() > 0 && wire::MoveState_IsValid(record.state())
            && m_moves.try_emplace(record.id(), record).second;
}

std::string Moves::validationError(const wire::Move &move) const
{
    if (!isName(move.id()) || !isName(move.from_building()) || !isName(move.to_building()))
        return "a move needs an id and two buildings";
    if (move.from_building() == move.to_building())
        return "a move needs two different buildings";
    if (move.steps_size() == 0 || static_cast<std::size_t>(move.steps_size()) > m_limits.moveSteps)
        return "a move needs from 1 to " + std::to_string(m_limits.moveSteps) + " steps";

    // Each rack stands in the building left, and is drained before it is retired, once each.
    std::set<std::pair<std::string_view, wire::MoveAction>> seen;
    for (const wire::MoveStep &it : move.steps()) {
        const wire::Rack *rack = m_racks.find(it.rack());
        if (rack == nullptr || rack->building() != move.from_building())
            return "rack " + it.rack() + " does not stand in " + move.from_building();
        if (!wire::MoveAction_IsValid(it.action()))
            return "no such action";
        if (it.action() == wire::MOVE_ACTION_RETIRE
            && !seen.contains({ it.rack(), wire::MOVE_ACTION_DRAIN }))
            return "rack " + it.rack() + " is retired before it is drained";
        if (!seen.emplace(it.rack(), it.action()).second)
            return "a step for rack " + it.rack() + " stands twice";
    }
    return {};
}

bool Moves::isStepTargetReached(const wire::MoveStep &step, bool isRollingBack) const
{
    const wire::Rack *rack = m_racks.find(step.rack());
    if (rack == nullptr)
        return false;
    const bool isRetire = step.action() == wire::MOVE_ACTION_RETIRE;
    if (isRollingBack)
        return isRetire ? rack->state() != wire::RACK_STATE_RETIRED
                        : rack->state() == wire::RACK_STATE_ACTIVE;
    return isRetire ? rack->state() == wire::RACK_STATE_RETIRED
                    : rack->state() >= wire::RACK_STATE_DRAINED;
}

bool Moves::evictOldestEnded()
{
    auto first = m_moves.end();
    for (auto it = m_moves.begin(); it != m_moves.end(); ++it) {
        if (!hasEnded(it->second.state()))
            continue;
        if (first == m_moves.end() || it->second.changed_us() < first->second.changed_us())
            first = it;
    }
    if (first == m_moves.end())
        return false;
    m_moves.erase(first);
    return true;
}

} // namespace acaciafork::state
