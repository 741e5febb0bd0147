#include <doctest/doctest.h>

#include "tests/decisions/batch/Scenario.h"

using namespace acaciafork;
using namespace acaciafork::batch;
using namespace acaciafork::batch::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t replicas = 6;
constexpr int jobs = 40;

/// A full old building of three racks, and a new one of the same size.
void addBuildings(Session *session)
{
    for (const char *rack : { "o1", "o2", "o3" })
        addRack(session, rack, "old", std::string(1, rack[1]), 2);
    session->run(2s);
    putService(session, "loopdraw", replicas);
    for (int i = 0; i < jobs; ++i)
        submitJob(session, { .task = "job" + std::to_string(i), .work = 30min });
    session->run(60s);
    for (const char *rack : { "n1", "n2", "n3" })
        addRack(session, rack, "new", std::string(1, rack[1]), 2);
    session->run(5s);
}

MoveRecord plannedMove(Session *session)
{
    const MovePlan plan = session->scheduler().planMove({ "old" }, { "new" });
    return { .from = { "old" },
             .to = { "new" },
             .state = MoveState::Running,
             .deadline = session->now() + 24h,
             .steps = plan.steps };
}

/// Counts racks that retire while something runs there, and starts at racks that were retired.
void countUseOfRetiredRacks(Session *session, int *retiredRackUses)
{
    session->onCommand = [session, retiredRackUses](const Command &it) {
        if (const auto *start = std::get_if<StartTask>(&it)) {
            const RackName rack { start->worker.value.substr(0, 2) };
            const auto known = session->state.racks().find(rack);
            const bool retired = known != session->state.racks().end()
                    && known->second.state == RackState::Retired;
            *retiredRackUses += retired ? 1 : 0;
        }
        const auto *proposal = std::get_if<Propose>(&it);
        const auto *retired = proposal ? std::get_if<RackRetired>(&proposal->change) : nullptr;
        if (retired == nullptr)
            return;
        for (const auto &worker : session->workers) {
            if (worker->identity().rack == retired->rack)
                *retiredRackUses += worker->runningCount() > 0 ? 1 : 0;
        }
    };
}

} // namespace

TEST_CASE("a move retires every rack, keeps replicas warm, and foretells its end")
{
    Session session(Session::Options {});
    addBuildings(&session);
    const MovePlan plan = session.scheduler().planMove({ "old" }, { "new" });
    CHECK(plan.steps.size() == 3);
    CHECK(plan.shortage == Resources {});
    int retiredRackUses = 0;
    countUseOfRetiredRacks(&session, &retiredRackUses);
    std::uint32_t minWarm = replicas;
    session.every(100ms, [&] { minWarm = std::min(minWarm, session.warmReplicas()["loopdraw"]); });
    session.putMove(plannedMove(&session));
    session.run(20s);
    const MoveView view = session.scheduler().move();
    CHECK(view.racksLeft == 3);
    CHECK(view.racksWaiting.size() == 1);
    CHECK(!view.blockers.empty());
    CHECK(view.finish.early <= view.finish.expected);
    CHECK(view.finish.expected <= view.finish.late);
    CHECK(!view.mayMissDeadline);
    session.run(15min);
    CHECK(session.state.move().state == MoveState::Finished);
    CHECK(session.scheduler().move().racksLeft == 0);
    CHECK(retiredRackUses == 0);
    CHECK(minWarm == replicas);
    session.run(1h);
    CHECK(session.state.finished == jobs);
    CHECK(session.world.audit.violations() == 0);
}

TEST_CASE("a move survives the loss of the leader at any step")
{
    for (int second = 1; second <= 60; second += 6) {
        CAPTURE(second);
        Session session(Session::Options {});
        addBuildings(&session);
        int retiredRackUses = 0;
        countUseOfRetiredRacks(&session, &retiredRackUses);
        // The state may know the racks, or they become known by their workers alone.
        for (const char *rack : { "o1", "o2", "o3" }) {
            if (second % 12 == 1)
                session.putRack({ .rack = { rack },
                                  .building = { "old" },
                                  .zone = { std::string(1, rack[1]) } });
        }
        session.putMove(plannedMove(&session));
        session.run(std::chrono::seconds(second));
        session.changeLeader(3s);
        session.run(20min);
        CHECK(session.state.move().state == MoveState::Finished);
        CHECK(retiredRackUses == 0);
        CHECK(session.world.audit.violations() == 0);
    }
}

TEST_CASE("a retired rack takes no work under a later leader")
{
    Session session(Session::Options {});
    addRack(&session, "o1", "old", "1", 1);
    addRack(&session, "o2", "old", "2", 1);
    addRack(&session, "n1", "new", "1", 1);
    session.run(2s);
    int retiredRackUses = 0;
    countUseOfRetiredRacks(&session, &retiredRackUses);
    session.putMove(plannedMove(&session));
    session.run(30s);
    REQUIRE(session.state.move().stepsDone == 2);
    session.changeLeader(3s);
    session.run(5s);
    for (int i = 0; i < 20; ++i)
        submitJob(&session, { .task = "job" + std::to_string(i), .work = 30min });
    session.run(1min);
    CHECK(session.workers[2]->runningCount() == 8);
    CHECK(retiredRackUses == 0);
}

TEST_CASE("a paused move evicts no more and goes on when resumed")
{
    Session session(Session::Options {});
    addBuildings(&session);
    MoveRecord move = plannedMove(&session);
    session.putMove(move);
    session.run(5s);
    move = session.state.move();
    move.state = MoveState::Paused;
    session.putMove(move);
    session.run(1min);
    const std::uint64_t evictions = session.scheduler().counters().evictions;
    const std::uint32_t done = session.state.move().stepsDone;
    session.run(5min);
    CHECK(session.scheduler().counters().evictions == evictions);
    CHECK(session.state.move().stepsDone == done);
    move = session.state.move();
    move.state = MoveState::Running;
    session.putMove(move);
    session.run(15min);
    CHECK(session.state.move().state == MoveState::Finished);
}

TEST_CASE("a move rolled back leaves the old racks in use")
{
    Session session(Session::Options {});
    addBuildings(&session);
    session.putMove(plannedMove(&session));
    session.run(3min);
    MoveRecord move = session.state.move();
    move.state = MoveState::RollingBack;
    session.putMove(move);
    for (const char *rack : { "o1", "o2", "o3" })
        session.putRack(
                { .rack = { rack }, .building = { "old" }, .zone = { std::string(1, rack[1]) } });
    session.run(1min);
    for (const RackView &it : session.scheduler().racks())
        CHECK(!it.draining);
    CHECK(session.scheduler().move().record.state == MoveState::RollingBack);
}

TEST_CASE("a destination without room is said so, and never filled over")
{
    Session session(Session::Options {});
    addRack(&session, "o1", "old", "1", 2);
    session.run(2s);
    for (int i = 0; i < 16; ++i)
        submitJob(&session, { .task = "job" + std::to_string(i), .work = 2h });
    session.run(10s);
    addRack(&session, "n1", "new", "1", 1);
    session.run(5s);
    const MovePlan plan = session.scheduler().planMove({ "old" }, { "new" });
    CHECK(plan.shortage.slots == 8);
    CHECK(plan.shortage.millicores == 32'000);
    session.putMove(plannedMove(&session));
    session.run(10min);
    const MoveView view = session.scheduler().move();
    CHECK(view.tasksLeft == 8);
    REQUIRE(!view.blockers.empty());
    CHECK(view.blockers.front().kind == BlockerKind::WaitsForRoom);
    CHECK(session.state.move().state == MoveState::Running);
    session.run(2h);
    CHECK(session.state.move().state == MoveState::Finished);
    CHECK(session.world.audit.violations() == 0);
}
