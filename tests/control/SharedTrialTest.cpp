#include <algorithm>
#include <array>

#include <doctest/doctest.h>

#include "tests/control/JobWorld.h"

using namespace acaciafork;
using namespace acaciafork::control;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstTracked = 100'000;

/// Eight workers, of which two may run the lasting tasks of many jobs, one task each.
struct CrowdedRack
{
    explicit CrowdedRack(std::uint64_t seed)
        : world({ .workers = 8, .seed = seed })
    {
        world.run(2s);
        for (std::uint64_t it = 0; it < jobCount; ++it) {
            wire::JobSpec spec = simpleJob(1, 65, 300);
            spec.mutable_steps(0)->set_label("rack-0");
            spec.mutable_steps(0)->set_long_running(true);
            world.submit(firstTracked + it, spec);
        }
        world.run(1s);
    }

    /// Crashes one of the two workers, and waits until it is back.
    void crashOne(std::size_t worker)
    {
        world.crash(worker);
        run(1s);
        if (!world.worker(worker).isUp)
            world.revive(worker);
    }

    /// Lets time pass, and keeps how long each task has had no run.
    void run(Duration length)
    {
        for (Duration passed {}; passed < length; passed += 20ms) {
            world.run(20ms);
            for (std::uint64_t it = 0; it < jobCount; ++it) {
                const jobs::TaskKey task { .job = { firstTracked + it } };
                if (isRunning(task))
                    m_idle[it] = {};
                else
                    m_idle[it] += 20ms;
                if (world.stateOf(firstTracked + it) == wire::JOB_STATE_ACTIVE)
                    longestIdle = std::max(longestIdle, m_idle[it]);
            }
        }
    }

    [[nodiscard]] bool isRunning(const jobs::TaskKey &task)
    {
        return world.worker(0).running.contains(task) || world.worker(1).running.contains(task);
    }

    [[nodiscard]] std::size_t waiting() const
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(m_idle, [](Duration it) { return it > Duration::zero(); }));
    }

    [[nodiscard]] std::size_t busier()
    {
        return world.worker(0).running.size() >= world.worker(1).running.size() ? 0 : 1;
    }

    static constexpr std::uint64_t jobCount = 110;
    JobWorld world;
    Duration longestIdle {};

private:
    std::array<Duration, jobCount> m_idle {};
};

} // namespace

TEST_CASE("over a hundred suspected tasks of different jobs on two workers don't wait for each "
          "other's trials")
{
    // One trial after the other began on each worker, and the last task waited for 18 s.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        CrowdedRack rack(seed);
        rack.crashOne(rack.busier());
        rack.run(12s);
        CHECK(rack.waiting() == 0);
        CHECK(rack.longestIdle <= 5s);
        checkNoBreach(rack.world);
    }
}

TEST_CASE("over a hundred suspected tasks have a run again soon after their worker has crashed "
          "three times for reasons of its own")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        CrowdedRack rack(seed);
        const std::size_t bad = rack.busier();
        for (int it = 0; it < 3; ++it) {
            rack.crashOne(bad);
            rack.run(1400ms);
        }
        rack.longestIdle = {};
        rack.run(14s);
        CHECK(rack.waiting() == 0);
        CHECK(rack.longestIdle <= 9s);
        for (std::uint64_t it = 0; it < CrowdedRack::jobCount; ++it)
            CHECK(rack.world.stateOf(firstTracked + it) == wire::JOB_STATE_ACTIVE);
        checkNoBreach(rack.world);
    }
}

TEST_CASE("a task that crashes its workers is found out among those that share its trials")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const bool isLate : { false, true }) {
            CAPTURE(seed);
            CAPTURE(isLate);
            CrowdedRack rack(seed);
            const std::uint64_t deadly = firstTracked + CrowdedRack::jobCount;
            rack.world.makeDeadly({ .job = { deadly } },
                                  { .delay = isLate ? 200ms : 10ms, .downTime = 1s });
            wire::JobSpec spec = simpleJob(1, 65, 300);
            spec.mutable_steps(0)->set_label("rack-0");
            rack.world.submit(deadly, spec);
            rack.run(60s);
            CHECK(rack.world.stateOf(deadly) == wire::JOB_STATE_FAILED);
            CHECK(rack.world.crashesUnder({ .job = { deadly } }) <= 5);
            for (std::uint64_t it = 0; it < CrowdedRack::jobCount; ++it)
                CHECK(rack.world.stateOf(firstTracked + it) == wire::JOB_STATE_ACTIVE);
            CHECK(rack.waiting() == 0);
            checkNoBreach(rack.world);
        }
    }
}
