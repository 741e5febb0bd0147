#include <doctest/doctest.h>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

TEST_CASE("the second of two concurrent proposals gets a conflict that names the first author")
{
    Driver driver;
    CHECK(driver.apply(proposal(0, "aiko")).outcome() == wire::OUTCOME_APPLIED);
    driver.now += 5;
    const ApplyResult late = driver.apply(proposal(0, "wei"));
    CHECK(late.outcome() == wire::OUTCOME_VERSION_CONFLICT);
    CHECK(late.version() == 1);
    CHECK(late.winner() == "aiko");
    CHECK(late.winner_time_us() == 1'000'000);
    CHECK(driver.machine.configuration().current().author() == "aiko");
}

TEST_CASE("the configuration history is bounded and versions increase")
{
    Driver driver({ .configHistory = 3 });
    for (std::uint64_t version = 0; version < 10; ++version)
        CHECK(driver.apply(proposal(version, "aiko")).version() == version + 1);
    const Configuration &configuration = driver.machine.configuration();
    CHECK(configuration.history().size() == 3);
    CHECK(configuration.find({ 7 }) == nullptr);
    CHECK(configuration.find({ 8 })->version() == 8);
    CHECK(configuration.version() == ConfigVersion { 10 });
}

TEST_CASE("a document with an out-of-range value is rejected as a whole")
{
    Driver driver;
    wire::Command command = proposal(0, "aiko");
    command.mutable_propose_config()->mutable_document()->mutable_services(0)->set_slots(0);
    CHECK(driver.apply(command).outcome() == wire::OUTCOME_INVALID);
    CHECK(driver.machine.configuration().version() == ConfigVersion { 0 });
}

TEST_CASE("a resent request gets its original result, even after the state has changed")
{
    Driver driver({ .requestWindow = std::chrono::seconds(10) });
    wire::Command first = proposal(0, "aiko");
    first.set_request_id("r-1");
    CHECK(driver.apply(first).version() == 1);
    CHECK(driver.apply(proposal(1, "wei")).version() == 2);

    // Resent later with another time: returns the original result and changes nothing.
    driver.now += 1'000'000;
    CHECK(driver.apply(first).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(first).version() == 1);
    CHECK(driver.machine.configuration().version() == ConfigVersion { 2 });

    // The same id with another command is a conflict.
    wire::Command other = proposal(2, "aiko");
    other.set_request_id("r-1");
    CHECK(driver.apply(other).outcome() == wire::OUTCOME_CONTENT_CONFLICT);

    // After the window the id is free, and the expected version still prevents a second change.
    driver.now += 20'000'000;
    CHECK(driver.apply(first).outcome() == wire::OUTCOME_VERSION_CONFLICT);
}

TEST_CASE("a full request log rejects a request before applying it")
{
    Driver driver({ .requests = 1 });
    wire::Command command = proposal(0, "aiko");
    command.set_request_id("r-1");
    driver.apply(command);
    command = proposal(1, "aiko");
    command.set_request_id("r-2");
    CHECK(driver.apply(command).outcome() == wire::OUTCOME_FULL);
    CHECK(driver.machine.configuration().version() == ConfigVersion { 1 });
}

TEST_CASE("a rack is drained before it is retired, and can be restored")
{
    Driver driver;
    CHECK(driver.apply(rack("r1", "old-hall")).version() == 1);
    CHECK(driver.apply(changeRack("r1", wire::RACK_STATE_RETIRED, 1)).outcome()
          == wire::OUTCOME_WRONG_STATE);
    CHECK(driver.apply(changeRack("r1", wire::RACK_STATE_DRAINING, 1)).version() == 2);
    const ApplyResult late = driver.apply(changeRack("r1", wire::RACK_STATE_DRAINING, 1));
    CHECK(late.outcome() == wire::OUTCOME_VERSION_CONFLICT);
    CHECK(late.winner() == "draining");
    CHECK(driver.apply(changeRack("r1", wire::RACK_STATE_DRAINED, 2)).version() == 3);
    CHECK(driver.apply(changeRack("r1", wire::RACK_STATE_RETIRED, 3)).version() == 4);
    CHECK(driver.apply(changeRack("r1", wire::RACK_STATE_ACTIVE, 4)).version() == 5);
}

TEST_CASE("a command of another cell, without a body or with a nested batch changes nothing")
{
    StateMachine machine(testCell);
    wire::Command foreign = rack("r1", "old-hall");
    foreign.set_cell(2);
    CHECK(machine.apply(1, bytesOf(encodeCommand(foreign))).outcome() == wire::OUTCOME_INVALID);
    wire::Command empty;
    empty.set_cell(testCell.value);
    CHECK(machine.apply(2, bytesOf(encodeCommand(empty))).outcome() == wire::OUTCOME_MALFORMED);
    wire::Command nested = empty;
    nested.mutable_batch()->add_commands()->mutable_batch()->add_commands();
    const ApplyResult result = machine.apply(3, bytesOf(encodeCommand(nested)));
    CHECK(result.parts(0).outcome() == wire::OUTCOME_INVALID);
    CHECK(machine.racks().all().empty());
}
