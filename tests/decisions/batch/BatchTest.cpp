#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/decisions/batch/Scenario.h"

using namespace acaciafork;
using namespace acaciafork::batch;
using namespace acaciafork::batch::fakes;
using namespace std::chrono_literals;

TEST_CASE("a job is leased, started and finished")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 2);
    submitJob(&session, { .task = "job", .work = 30s });
    session.run(40s);
    CHECK(session.state.finished == 1);
    CHECK(session.world.audit.starts == 1);
    CHECK(session.world.audit.violations() == 0);
    CHECK(session.scheduler().summary().tasks == 0);
    CHECK(session.scheduler().summary().granted == Resources {});
}

TEST_CASE("replicas of a service stand in different zones and racks")
{
    Session session(Session::Options {});
    for (const auto &[rack, zone] : { std::pair { "r1", "a" },
                                      { "r2", "a" },
                                      { "r3", "b" },
                                      { "r4", "b" },
                                      { "r5", "c" },
                                      { "r6", "c" } })
        addRack(&session, rack, "old", zone, 3);
    session.run(2s);
    putService(&session, "loopdraw", 6);
    session.run(60s);
    CHECK(session.warmReplicas()["loopdraw"] == 6);
    for (const RackView &it : session.scheduler().racks())
        CHECK(it.tasks == 1);
}

TEST_CASE("draining a rack moves jobs by checkpoint and services make before break")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 2);
    session.run(2s);
    putService(&session, "loopdraw", 3);
    for (int i = 0; i < 6; ++i)
        submitJob(&session, { .task = "job" + std::to_string(i), .work = 30min });
    session.run(60s);
    REQUIRE(session.warmReplicas()["loopdraw"] == 3);

    addRack(&session, "r2", "new", "a", 2);
    session.putRack({ .rack = { "r1" },
                      .building = { "old" },
                      .zone = { "a" },
                      .state = RackState::Retiring });
    std::uint32_t minWarm = 3;
    session.every(100ms, [&] { minWarm = std::min(minWarm, session.warmReplicas()["loopdraw"]); });
    session.run(10min);
    CHECK(minWarm == 3);
    CHECK(session.state.racks().at({ "r1" }).state == RackState::Retired);
    CHECK(session.workers[0]->runningCount() + session.workers[1]->runningCount() == 0);
    session.run(40min);
    CHECK(session.state.finished == 6);
    CHECK(session.world.audit.violations() == 0);
}

TEST_CASE("a lost worker's job goes on elsewhere only after its lease has surely expired")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 1);
    session.run(2s);
    submitJob(&session, { .task = "job", .work = 10min });
    session.run(3min);
    addRack(&session, "r2", "old", "a", 1);
    session.partition(0, session.now() + 10min);
    session.run(29s);
    CHECK(session.world.audit.starts == 1);
    session.run(5s);
    CHECK(session.world.audit.starts == 2);
    session.run(10min);
    CHECK(session.state.finished == 1);
    CHECK(session.world.audit.violations() == 0);
}

TEST_CASE("the wait for a lease covers the slowest clock allowed")
{
    // A clock that runs slower by a fifth keeps a lease for a quarter longer, not for a fifth.
    Session::Options options;
    options.settings.lease.clockMarginPermille = 200;
    Session session(options);
    session.addWorker({ .identity = { .worker = { "slow" },
                                      .rack = { "r1" },
                                      .building = { "old" },
                                      .zone = { "a" },
                                      .room = workerRoom },
                        .clockPermille = 800 });
    session.run(2s);
    submitJob(&session, { .task = "job", .work = 10min });
    session.run(1min);
    addRack(&session, "r2", "old", "a", 1);
    session.partition(0, session.now() + 10min);
    session.run(2min);
    CHECK(session.world.audit.starts == 2);
    CHECK(session.world.audit.runsInTwoPlaces == 0);
}

TEST_CASE("a cancelled job ends, wherever it stands")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 1);
    session.run(2s);
    for (int i = 0; i < 20; ++i)
        submitJob(&session, { .task = "job" + std::to_string(i), .work = 10min });
    session.run(5s);
    for (int i = 0; i < 20; ++i)
        session.cancel({ "job" + std::to_string(i) });
    session.run(10s);
    CHECK(session.state.cancelled == 20);
    CHECK(session.scheduler().summary().granted == Resources {});
}
