#include <doctest/doctest.h>

#include "acaciafork/control/BatchRecords.h"

using namespace acaciafork;
using namespace acaciafork::control;

namespace {

/// A state machine that applies durable changes as the driver proposes them.
struct Applied
{
    state::StateMachine machine { CellId { 1 } };
    std::uint64_t index = 0;

    state::ApplyResult apply(wire::Command command)
    {
        command.set_cell(1);
        return machine.apply(++index, state::bytesOf(state::encodeCommand(command)));
    }

    /// Outcomes of the commands of one change, as the words that operators see.
    std::string outcomes(const batch::DurableChange &change)
    {
        wire::Command command;
        for (wire::Command &it : toCommands(change, machine)) {
            it.set_cell(1);
            *command.mutable_batch()->add_commands() = std::move(it);
        }
        std::string text;
        const state::ApplyResult result = apply(command);
        for (const wire::CommandResult &it : result.parts())
            text += std::string(state::outcomeName(it.outcome())) + ' ' + it.detail() + ';';
        return text;
    }
};

constexpr batch::Resources replicaSize { .millicores = 4000, .memoryMb = 8000, .slots = 1 };

batch::LeaseTask serviceLease(std::uint64_t epoch)
{
    return { .task = { "@loopdraw/0" },
             .service = { "loopdraw" },
             .worker = { "old-1-1" },
             .epoch = { epoch },
             .granted = replicaSize };
}

} // namespace

TEST_CASE("the first lease of a replica makes its task, later ones only lease it")
{
    Applied applied;
    CHECK(applied.outcomes(serviceLease(1)) == "applied ;applied ;");
    CHECK(applied.outcomes(batch::RecordStarted { .task = { "@loopdraw/0" }, .epoch = { 1 } })
          == "applied ;");
    CHECK(applied.outcomes(batch::RecordStopped { .task = { "@loopdraw/0" }, .epoch = { 1 } })
          == "applied ;");
    CHECK(applied.outcomes(serviceLease(2)) == "applied ;");

    // A restored scheduler knows the lease that is in force.
    const batch::RestoredState restored = restoredState(applied.machine, {});
    REQUIRE(restored.tasks.size() == 1);
    CHECK(restored.tasks[0].service.value == "loopdraw");
    CHECK(restored.tasks[0].leased);
    CHECK(restored.tasks[0].lease.epoch.value == 2);
    CHECK(restored.tasks[0].lease.granted == replicaSize);
}

TEST_CASE("a rack goes through every state on its way, and a move counts its retirements")
{
    Applied applied;
    for (const char *name : { "r1", "r2" }) {
        wire::Command put;
        put.mutable_put_rack()->set_name(name);
        put.mutable_put_rack()->set_building("old");
        put.mutable_put_rack()->set_zone("a");
        CHECK(applied.apply(put).outcome() == wire::OUTCOME_APPLIED);
    }
    wire::Command plan;
    wire::Move *move = plan.mutable_plan_move()->mutable_move();
    move->set_id("weekend");
    move->set_from_building("old");
    move->set_to_building("new");
    move->set_deadline_us(5'000'000);
    REQUIRE(applied.apply(plan).outcome() == wire::OUTCOME_APPLIED);
    wire::Command start;
    start.mutable_change_move()->set_id("weekend");
    start.mutable_change_move()->set_target(wire::MOVE_STATE_RUNNING);
    start.mutable_change_move()->set_expected_version(1);
    REQUIRE(applied.apply(start).outcome() == wire::OUTCOME_APPLIED);

    const batch::MoveRecord record =
            toBatch(*applied.machine.moves().inProgress(),
                    { .now = timestampFromMicroseconds(100), .wallMicroseconds = 2'000'000 });
    CHECK(record.state == batch::MoveState::Running);
    CHECK(record.steps.size() == 2);
    CHECK(record.deadline == timestampFromMicroseconds(3'000'100));

    CHECK(applied.outcomes(batch::RackDrained { .rack = record.steps[0] }) == "applied ;applied ;");
    CHECK(applied.outcomes(batch::RackRetired { .rack = record.steps[0] }) == "applied ;");
    CHECK(applied.outcomes(batch::MoveStepDone { .stepsDone = 1 }) == "applied ;applied ;");
    CHECK(toBatch(*applied.machine.moves().inProgress(), {}).stepsDone == 1);
    CHECK(applied.outcomes(batch::RackRetired { .rack = record.steps[1] })
          == "applied ;applied ;applied ;");
    CHECK(applied.outcomes(batch::MoveStepDone { .stepsDone = 2 }) == "applied ;applied ;");
    CHECK(applied.machine.moves().inProgress() == nullptr);
}

TEST_CASE("a failure held against the worker does not count as the job's")
{
    Applied applied;
    applied.outcomes(serviceLease(1));
    applied.outcomes(
            batch::RecordFailed { .task = { "@loopdraw/0" }, .epoch = { 1 }, .counted = false });
    CHECK(applied.machine.tasks().find("@loopdraw/0")->failures == 0);
    applied.outcomes(serviceLease(2));
    applied.outcomes(batch::RecordFailed { .task = { "@loopdraw/0" }, .epoch = { 2 } });
    CHECK(applied.machine.tasks().find("@loopdraw/0")->failures == 1);
}

TEST_CASE("a new leader counts what a lease takes, not what the job declared")
{
    Applied applied;
    applied.outcomes(serviceLease(1));
    applied.outcomes(batch::RecordStopped { .task = { "@loopdraw/0" }, .epoch = { 1 } });
    batch::LeaseTask larger = serviceLease(2);
    larger.granted = { .millicores = 9000, .memoryMb = 9000, .accelerators = 1, .slots = 1 };
    applied.outcomes(larger);

    // Also through a snapshot, as a member that was down gets it.
    state::StateMachine other(CellId { 1 });
    const std::string snapshot = applied.machine.snapshot();
    leaf::try_handle_all([&]() -> Result<void> { return other.restore(state::bytesOf(snapshot)); },
                         [] { FAIL("the snapshot is refused"); });
    for (const state::StateMachine *it : { &applied.machine, &other }) {
        const batch::RestoredState restored = restoredState(*it, {});
        REQUIRE(restored.tasks.size() == 1);
        CHECK(restored.tasks[0].lease.granted == larger.granted);
        CHECK(restored.tasks[0].job.declared == replicaSize);
    }
}
