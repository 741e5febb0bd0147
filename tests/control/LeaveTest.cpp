#include <doctest/doctest.h>

#include <optional>

#include "tests/control/JobWorld.h"

// Guards against tasks that start elsewhere while the worker that has said that it leaves is still
// at work on them (docs/incidents/review-9-leaving-worker.md). The world checks that at each start.

using namespace acaciafork;
using namespace acaciafork::control;
using namespace std::chrono_literals;

namespace {

/// What else happens around a Leave whose answer is lost.
struct Trouble
{
    /// The worker answers nothing more.
    bool isCut = false;
    /// The leader is lost this long after the Leave.
    std::optional<Duration> leaderLost;
    WorldFaults faults;
};

/// Lets a worker leave at several moments of its tasks' lives; @return what the world found wrong
std::string leaveAtEachMoment(const Trouble &trouble, std::uint64_t seed)
{
    for (Duration offset = 0ms; offset <= 1500ms; offset += 300ms) {
        JobWorld world({ .workers = 4, .faults = trouble.faults, .seed = seed });
        world.run(2s);
        world.submit(7, simpleJob(16, 1000, 5000));
        world.run(20ms + offset);
        world.cut(0, trouble.isCut);
        world.leaveUnanswered(0, 3s);
        if (trouble.leaderLost) {
            world.run(*trouble.leaderLost);
            world.changeLeader(500ms);
        }
        world.run(35s);
        if (!world.breaches().empty())
            return world.breaches().front();
        if (world.stateOf(7) != wire::JOB_STATE_COMPLETED)
            return "the job has not ended";
    }
    return {};
}

} // namespace

TEST_CASE("no task starts elsewhere while a leaving worker is at work on it")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CHECK(leaveAtEachMoment({}, seed) == "");
        CHECK(leaveAtEachMoment({ .isCut = true }, seed) == "");
    }
}

TEST_CASE(
        "no task starts elsewhere while a leaving worker is at work on it, over a change of leader")
{
    for (const bool isCut : { false, true }) {
        for (Duration lost = 0ms; lost <= 3000ms; lost += 200ms) {
            CAPTURE(lost.count());
            CHECK(leaveAtEachMoment({ .isCut = isCut, .leaderLost = lost }, 5) == "");
        }
    }
}

TEST_CASE("no task starts elsewhere while a leaving worker is at work on it, with late and lost "
          "orders")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        const WorldFaults faults { .answerLost = 0.1, .carriedOutLate = 0.1, .orderLost = 0.1 };
        CHECK(leaveAtEachMoment({ .faults = faults }, seed) == "");
        CHECK(leaveAtEachMoment({ .leaderLost = 400ms, .faults = faults }, seed) == "");
    }
}

TEST_CASE("a leaving worker's tasks start elsewhere as soon as it has stopped them")
{
    JobWorld world({ .workers = 4 });
    world.run(2s);
    world.submit(7, simpleJob(16, 1000, 5000));
    world.run(500ms);
    REQUIRE_FALSE(world.worker(0).running.empty());
    const std::size_t moved = world.worker(0).running.size();
    const std::uint64_t before = world.starts();
    world.leave(0);
    world.run(600ms);
    CHECK_FALSE(world.worker(0).isUp);
    world.run(400ms);
    CHECK(world.starts() == before + moved);
    CHECK_MESSAGE(world.breaches().empty(), world.breaches().front());
}
