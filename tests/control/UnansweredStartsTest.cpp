#include <array>

#include <doctest/doctest.h>

#include "tests/control/JobWorld.h"

using namespace acaciafork;
using namespace acaciafork::control;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workerCount = 60;
/// Every fifth worker takes no starts.
constexpr std::size_t badInterval = 5;

/// A world in which the workers that take no starts are the emptiest: all others serve.
void makeBadWorkersEmptiest(JobWorld *world, StartFault fault)
{
    world->run(2s);
    for (std::size_t it = 0; it < workerCount; it += badInterval)
        world->worker(it).startFault = fault;
    wire::JobSpec spec = simpleJob(4, 2500, 300);
    spec.mutable_steps(0)->set_long_running(true);
    spec.mutable_steps(0)->set_tail_target_ms(50);
    for (std::uint64_t it = 0; it < 20; ++it) {
        spec.mutable_steps(0)->set_image("image" + std::to_string(it % 4));
        world->submit(1000 + it, spec);
    }
    world->run(20s);
}

std::size_t runningTasks(JobWorld *world, std::uint64_t job, std::size_t workers = workerCount)
{
    std::size_t n = 0;
    for (std::size_t it = 0; it < workers; ++it) {
        for (const auto &[task, run] : world->worker(it).running)
            n += task.job.value == job ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_CASE("a task is not started again and again on workers that take no starts while others have "
          "room")
{
    // Issue 40: such workers are the emptiest, and were the first choice each time.
    for (const StartFault fault : { StartFault::Unanswered, StartFault::Refused }) {
        for (const bool lasts : { false, true }) {
            for (const bool lookAhead : { false, true }) {
                CAPTURE(static_cast<int>(fault));
                CAPTURE(lasts);
                CAPTURE(lookAhead);
                JobWorld world({ .workers = workerCount,
                                 .scheduler = { .promptTakeOver = lookAhead,
                                                .lookAhead = lookAhead,
                                                .learnDurations = lookAhead } });
                makeBadWorkersEmptiest(&world, fault);
                wire::JobSpec spec = simpleJob(4, 2500, 20'000);
                spec.mutable_steps(0)->set_long_running(lasts);
                world.submit(1, spec);
                world.run(3s);
                CHECK(runningTasks(&world, 1) == 4);
                checkNoBreach(world);
            }
        }
    }
}

TEST_CASE("a worker that took no starts for a while gets work again once it takes them")
{
    JobWorld world({ .workers = 2 });
    world.run(2s);
    world.worker(0).startFault = StartFault::Unanswered;
    for (std::uint64_t it = 1; it <= 20; ++it) {
        world.submit(it, simpleJob(1, 1000, 500));
        world.run(1s);
    }
    world.worker(0).startFault = StartFault::None;
    // More than one worker has room for.
    world.submit(100, simpleJob(12, 1000, 30'000));
    world.run(12s);
    CHECK(runningTasks(&world, 100, 2) == 12);
    checkNoBreach(world);
}

TEST_CASE("a run whose start and stop get no answer does not hold its task while other runs renew "
          "the "
          "lease")
{
    // Issue 40: such a run was given up only when the lease of its worker was over.
    JobWorld world({ .workers = 2 });
    world.run(2s);
    wire::JobSpec lasting = simpleJob(2, 3000, 300);
    lasting.mutable_steps(0)->set_long_running(true);
    lasting.mutable_steps(0)->set_most_per_worker(1);
    world.submit(1, lasting);
    world.run(1s);
    lasting.mutable_steps(0)->set_count(1);
    world.submit(2, lasting);
    world.run(1s);
    const std::size_t emptier = world.worker(0).running.size() == 1 ? 0 : 1;
    REQUIRE(world.worker(emptier).running.size() == 1);
    world.worker(emptier).startFault = StartFault::Unanswered;
    world.worker(emptier).ignoresStops = true;
    world.submit(3, simpleJob(1, 1000, 500));
    world.run(8s);
    CHECK(world.stateOf(3) == wire::JOB_STATE_COMPLETED);
    checkNoBreach(world);
}
