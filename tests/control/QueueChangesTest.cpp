#include <array>

#include <doctest/doctest.h>

#include "tests/control/JobWorld.h"

using namespace acaciafork;
using namespace acaciafork::control;
using namespace std::chrono_literals;

// The configuration moves queues between pools of workers while their jobs wait and run.

namespace {

constexpr std::size_t workerCount = 6;

/// Lets the last four workers form another pool.
void splitPools(JobWorld *world)
{
    for (std::size_t it = 2; it < workerCount; ++it)
        world->worker(it).pool = "other";
    world->reportNow();
}

/// Jobs of every kind that can wait, by name.
std::map<std::string, wire::JobSpec> kindsOfJobs(std::int64_t nowUs)
{
    std::map<std::string, wire::JobSpec> kinds;
    const wire::JobSpec plain = simpleJob(2, 1000, 500);
    kinds["plain"] = plain;
    kinds["gang"] = plain;
    kinds["gang"].mutable_steps(0)->set_gang(true);
    kinds["lasting"] = plain;
    kinds["lasting"].mutable_steps(0)->set_long_running(true);
    kinds["scheduled"] = plain;
    kinds["scheduled"].mutable_schedule()->set_first_ms(nowUs / 1000 + 500);
    kinds["scheduled"].mutable_schedule()->set_interval_ms(300);
    kinds["scheduled"].mutable_schedule()->set_times(2);
    kinds["later step"] = plain;
    *kinds["later step"].add_steps() = plain.steps(0);
    kinds["later step"].mutable_steps(1)->add_after(0);
    kinds["advised"] = plain;
    return kinds;
}

} // namespace

TEST_CASE("jobs of every kind that wait when their queue moves run in its new pool")
{
    // Each job kept the pool that its queue had when it was accepted, until the leader changed.
    for (const std::string change : { "none", "before", "after" }) {
        CAPTURE(change);
        JobWorld world({});
        splitPools(&world);
        world.run(2s);
        // They keep the first pool full for the whole test.
        world.submit(100, simpleJob(2, 8000, 100'000));
        world.run(2s);
        REQUIRE(world.hasBegun(100));
        std::uint64_t id = 0;
        const auto kinds = kindsOfJobs(world.moment().wallMicroseconds);
        for (const auto &[name, spec] : kinds)
            world.submit(++id, spec, 4, name == "advised" ? "/a/" : "/q/");
        world.run(1500ms);
        for (std::uint64_t it = 1; it <= id; ++it)
            CHECK_FALSE(world.hasBegun(it));
        if (change == "before")
            world.changeLeader(300ms);
        world.run(1s);
        world.moveQueue("/q/", "other");
        world.moveQueue("/a/", "other");
        world.run(100ms);
        if (change == "after")
            world.changeLeader(300ms);
        world.run(20s);
        for (std::uint64_t it = 1; it <= id; ++it) {
            CAPTURE(it);
            CHECK(world.hasBegun(it));
        }
        checkNoBreach(world);
    }
}

TEST_CASE(
        "jobs of a queue that moved and was removed run where it pointed last, also later leaders'")
{
    for (const bool changesLeader : { false, true }) {
        CAPTURE(changesLeader);
        JobWorld world({});
        splitPools(&world);
        world.run(2s);
        world.submit(100, simpleJob(2, 8000, 100'000));
        world.run(500ms);
        world.submit(1, simpleJob(1, 1000, 500));
        world.run(500ms);
        world.moveQueue("/q/", "third");
        world.run(100ms);
        world.moveQueue("/q/", "other");
        world.configure(
                [](wire::QueueConfig *config) { config->mutable_queues()->DeleteSubrange(0, 1); });
        if (changesLeader) {
            world.run(100ms);
            world.changeLeader(300ms);
        }
        world.run(15s);
        CHECK(world.stateOf(1) == wire::JOB_STATE_COMPLETED);
        checkNoBreach(world);
    }
}

TEST_CASE("queues that move again and again lose no job, under faults and changes of leader")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        JobWorld world({ .faults = { .answerLost = 0.03,
                                     .carriedOutLate = 0.03,
                                     .orderLost = 0.02,
                                     .unhealthy = 0.05,
                                     .runFails = 0.02 },
                         .seed = seed });
        RandomGenerator random(seed * 15'485'863);
        const auto draw = [&](std::uint64_t n) { return random() % n; };
        splitPools(&world);
        world.run(2s);
        const std::array pools { "pool", "other" };
        std::uint64_t id = 0;
        for (int round = 0; round < 20; ++round) {
            for (const auto &[name, spec] : kindsOfJobs(world.moment().wallMicroseconds)) {
                if (name != "lasting" && draw(3) == 0)
                    world.submit(++id, spec, 4, name == "advised" ? "/a/" : "/q/");
            }
            if (draw(2) == 0)
                world.moveQueue(draw(2) == 0 ? "/q/" : "/a/", pools.at(draw(2)));
            const std::uint64_t worker = draw(workerCount);
            if (draw(5) == 0) {
                world.crash(worker);
                world.revive(worker);
            }
            if (draw(8) == 0) {
                world.changeLeader(300ms + Duration(draw(1'000'000)));
                world.run(2s);
            }
            world.run(Duration(200'000 + draw(400'000)));
        }
        world.faults() = {};
        // A change that was proposed when its leader died may be lost; its operator sends it again.
        world.moveQueue("/q/", "other");
        world.run(40s);
        for (std::uint64_t it = 1; it <= id; ++it) {
            CAPTURE(it);
            if (world.statusOf(it) == 200)
                CHECK(world.stateOf(it) != wire::JOB_STATE_ACTIVE);
        }
        checkNoBreach(world);
    }
}
