#include <doctest/doctest.h>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

namespace {

/// Command that closes or opens a zone.
wire::Command changeZone(const std::string &zone, bool closed)
{
    wire::Command command;
    command.mutable_change_zone()->set_zone(zone);
    command.mutable_change_zone()->set_closed(closed);
    return command;
}

/// State after a loss of all power: that of a snapshot and of the log after it.
void recover(const Driver &driver, std::size_t snapshotAt, StateMachine *machine)
{
    StateMachine before(testCell);
    for (std::size_t i = 0; i < snapshotAt; ++i)
        before.apply(i + 1, bytesOf(driver.log[i]));
    REQUIRE(machine->restore(bytesOf(before.snapshot())));
    for (std::size_t i = snapshotAt; i < driver.log.size(); ++i)
        machine->apply(i + 1, bytesOf(driver.log[i]));
}

} // namespace

// Guards against an evacuation that is forgotten when all members lose power.
TEST_CASE("a closed zone survives the loss of all members, with or without a snapshot")
{
    Driver driver;
    driver.apply(changeZone("a", true));
    driver.now += 1000;
    driver.apply(changeZone("b", true));
    driver.apply(changeZone("c", true));
    driver.apply(changeZone("c", false));
    for (std::size_t cut = 0; cut <= driver.log.size(); ++cut) {
        StateMachine machine(testCell);
        recover(driver, cut, &machine);
        const auto &zones = machine.closedZones().all();
        REQUIRE(zones.size() == 2);
        CHECK(zones.at("a").since_us() == 1'000'000);
        CHECK(zones.at("a").index() == 1);
        CHECK(zones.at("b").since_us() == 1'001'000);
        CHECK(zones.at("b").index() == 2);
        CHECK(machine.snapshot() == driver.machine.snapshot());
    }
}

// Guards against a repeated order that is refused, or that makes a closure look younger than it is.
TEST_CASE("closing a closed zone and opening an open one succeed and change nothing")
{
    Driver driver;
    CHECK(driver.apply(changeZone("a", false)).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.apply(changeZone("a", true)).outcome() == wire::OUTCOME_APPLIED);
    driver.now += 1000;
    CHECK(driver.apply(changeZone("a", true)).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.machine.closedZones().all().at("a").since_us() == 1'000'000);
    CHECK(driver.machine.closedZones().all().at("a").index() == 2);
    CHECK(driver.apply(changeZone("a", false)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.machine.closedZones().all().empty());
}

// Guards against a table that grows without bound, and against one that can't be opened when full.
TEST_CASE("a zone beyond the limit is not closed, and a closed one can still be opened")
{
    Driver driver({ .closedZones = 2 });
    driver.apply(changeZone("a", true));
    driver.apply(changeZone("b", true));
    CHECK(driver.apply(changeZone("c", true)).outcome() == wire::OUTCOME_FULL);
    CHECK(driver.apply(changeZone("b", true)).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.apply(changeZone("a", false)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(changeZone("c", true)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(changeZone("", true)).outcome() == wire::OUTCOME_INVALID);
    CHECK(driver.apply(changeZone("a/b", true)).outcome() == wire::OUTCOME_INVALID);
}

// Guards against a new program that does not start on the data of an earlier one.
TEST_CASE("a snapshot without records of closed zones restores with every zone open")
{
    Driver earlier;
    earlier.apply(proposal(0, "aiko"));
    Driver driver;
    driver.apply(changeZone("a", true));
    REQUIRE(driver.machine.restore(bytesOf(earlier.machine.snapshot())));
    CHECK(driver.machine.closedZones().all().empty());
}
