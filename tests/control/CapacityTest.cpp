#include <doctest/doctest.h>

#include "tests/control/JobWorld.h"

using namespace acaciafork;
using namespace acaciafork::control;
using namespace std::chrono_literals;

namespace {

const jobs::Size small { .millicores = 2000, .memoryMb = 32'000 };
const jobs::Size large { .millicores = 8000, .memoryMb = 32'000 };

/// Lets time pass in which a job of four tasks comes every 200 ms.
void runWithJobs(JobWorld *world, Duration length, std::uint64_t *lastJob)
{
    for (Duration passed {}; passed < length; passed += 200ms) {
        world->submit(++*lastJob, simpleJob(4, 1500, 1000));
        world->run(200ms);
    }
}

} // namespace

TEST_CASE("a worker that has shrunk is not brought over its capacity while its reports are lost")
{
    // Renewals kept the worker in use, by a capacity of any age.
    JobWorld world({ .workers = 3, .guardsCapacity = false });
    world.run(2s);
    std::uint64_t lastJob = 0;
    world.worker(0).isMute = true;
    world.resize(0, small);
    runWithJobs(&world, 10s, &lastJob);
    world.worker(0).isMute = false;
    world.resize(0, large);
    runWithJobs(&world, 3s, &lastJob);
    world.run(40s);
    checkNoBreach(world);
    CHECK(world.hasIdleWorkers());
}

TEST_CASE("a new leader starts nothing by a capacity of which no report has come")
{
    JobWorld world({ .workers = 3, .guardsCapacity = false });
    world.run(2s);
    std::uint64_t lastJob = 0;
    world.worker(0).isMute = true;
    world.resize(0, small);
    runWithJobs(&world, 1s, &lastJob);
    world.changeLeader(500ms);
    runWithJobs(&world, 8s, &lastJob);
    checkNoBreach(world);
}

TEST_CASE("a restarted worker gets nothing by the capacity and labels of its earlier life")
{
    JobWorld world({ .workers = 2, .guardsCapacity = false });
    world.run(2s);
    world.submit(1, simpleJob(2, 1500, 1000));
    world.run(200ms);
    world.crash(0);
    world.revive(0);
    world.worker(0).capacity = small;
    world.worker(0).labels = { "other", "rack-9" };
    world.worker(0).isMute = true;
    wire::JobSpec labelled = simpleJob(6, 1500, 300);
    labelled.mutable_steps(0)->set_label("even");
    for (std::uint64_t it = 2; it < 30; ++it) {
        world.submit(it, it % 2 == 0 ? labelled : simpleJob(4, 1500, 1000));
        world.run(200ms);
    }
    checkNoBreach(world);
}

TEST_CASE("a run that an earlier leader has told to stop counts as long as it may be at work")
{
    // While it stops it is on no list, so the next leader took its worker for free.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        JobWorld world({ .workers = 3, .guardsCapacity = false, .seed = seed });
        world.run(2s);
        for (std::uint64_t it = 1; it <= 4; ++it)
            world.submit(it, simpleJob(3, 2500, 30'000));
        world.run(500ms);
        for (std::uint64_t it = 1; it <= 4; ++it)
            world.cancel(it);
        world.run(20ms);
        world.changeLeader(20ms);
        std::uint64_t lastJob = 100;
        world.run(50ms);
        world.reportNow();
        world.run(10ms);
        runWithJobs(&world, 5s, &lastJob);
        checkNoBreach(world);
    }
}

TEST_CASE("workers that shrink and grow are never brought over their capacity, under faults")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        JobWorld world(
                { .workers = 6,
                  .relays = seed % 3 == 0 ? 2U : 0U,
                  .guardsCapacity = false,
                  .faults = { .answerLost = 0.03, .carriedOutLate = 0.03, .orderLost = 0.02 },
                  .seed = seed });
        RandomGenerator random(seed * 4001);
        const auto draw = [&](std::uint64_t n) { return random() % n; };
        world.run(2s);
        std::uint64_t lastJob = 0;
        for (int round = 0; round < 40; ++round) {
            world.resize(draw(6), draw(2) == 0 ? small : large);
            if (draw(6) == 0 && lastJob > 2)
                world.cancel(lastJob - 1);
            switch (draw(12)) {
            case 0:
                world.changeLeader(300ms + Duration(draw(700'000)));
                world.run(1s);
                break;
            case 1:
                world.cut(draw(6), true);
                break;
            case 2:
                world.worker(draw(6)).isMute = true;
                break;
            case 3:
            case 4:
                for (std::size_t it = 0; it < 6; ++it) {
                    world.cut(it, false);
                    world.worker(it).isMute = false;
                }
                break;
            case 5:
                world.crash(draw(6));
                break;
            case 6:
                for (std::size_t it = 0; it < 6; ++it) {
                    if (!world.worker(it).isUp)
                        world.revive(it);
                }
                break;
            default:
                break;
            }
            runWithJobs(&world, 400ms, &lastJob);
        }
        world.faults() = {};
        for (std::size_t it = 0; it < 6; ++it) {
            world.cut(it, false);
            world.worker(it).isMute = false;
            if (!world.worker(it).isUp)
                world.revive(it);
            world.resize(it, large);
        }
        world.run(60s);
        for (std::uint64_t it = 1; it <= lastJob; ++it) {
            CAPTURE(it);
            if (world.statusOf(it) == 200)
                CHECK(world.stateOf(it) != wire::JOB_STATE_ACTIVE);
        }
        checkNoBreach(world);
    }
}
