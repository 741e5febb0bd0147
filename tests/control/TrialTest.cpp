#include <algorithm>
#include <array>
#include <map>

#include <doctest/doctest.h>

#include "acaciafork/decisions/jobs/TaskState.h"
#include "tests/control/JobWorld.h"

using namespace acaciafork;
using namespace acaciafork::control;
using namespace std::chrono_literals;

namespace {

/// A task that could run has a run again within this time after its last one is known to be lost.
constexpr Duration waitBound = 6s;
constexpr std::uint64_t firstTracked = 100'000;
constexpr std::uint32_t trackedMillicores = 600;

/// A world in which each worker gets a start every 100 to 200 ms, and a watch over the time for
/// which its lasting tasks have no run.
class BusyFleet
{
public:
    BusyFleet(std::size_t workers, std::uint64_t seed)
        : world({ .workers = workers,
                  .scheduler = { .promptTakeOver = true,
                                 .lookAhead = true,
                                 .learnDurations = true },
                  .seed = seed })
        , random(seed * 7919)
        , m_nextTraffic(workers / 2)
        , m_workers(workers)
    {
        world.run(2s);
    }

    /// Lets time pass with traffic.
    void run(Duration length)
    {
        for (Duration passed {}; passed < length; passed += 20ms) {
            for (std::size_t rack = 0; rack < m_nextTraffic.size(); ++rack) {
                if (world.moment().now < m_nextTraffic[rack] || !isRackUp(rack))
                    continue;
                m_nextTraffic[rack] = world.moment().now + 100ms + Duration(random() % 100'000);
                wire::JobSpec spec = simpleJob(2, 100, trafficMs);
                spec.mutable_steps(0)->set_label("rack-" + std::to_string(rack));
                spec.mutable_steps(0)->set_most_per_worker(1);
                world.submit(++m_lastJob, spec);
            }
            world.run(20ms);
            watch();
        }
    }

    /// Submits lasting tasks, one a job.
    void submitLasting(std::size_t count)
    {
        for (std::size_t it = 0; it < count; ++it) {
            wire::JobSpec spec = simpleJob(1, trackedMillicores, 60'000);
            spec.mutable_steps(0)->set_long_running(it % 2 == 0);
            world.submit(firstTracked + m_tracked++, spec);
        }
    }

    /// Crashes the racks with the most lasting tasks.
    void crashRacks(std::size_t count)
    {
        std::vector<std::pair<std::size_t, std::size_t>> racks;
        for (std::size_t it = 0; it < m_workers / 2; ++it)
            racks.emplace_back(tracked(2 * it) + tracked(2 * it + 1), it);
        std::ranges::sort(racks, std::ranges::greater());
        for (std::size_t it = 0; it < count; ++it) {
            for (const std::size_t worker : { 2 * racks[it].second, 2 * racks[it].second + 1 }) {
                lost += tracked(worker);
                world.crash(worker);
                down.push_back(worker);
            }
        }
    }

    /// The crashed workers start again under other names, and accept work or don't.
    void revive(bool acceptsWork)
    {
        for (const std::size_t it : down) {
            world.revive(it, world.worker(it).name + "r");
            if (!acceptsWork)
                world.drain(it);
        }
        down.clear();
    }

    void changeLeader()
    {
        world.changeLeader(300ms);
        world.run(400ms);
        m_waitingSince.clear();
    }

    /// Forgets the waits and losses so far.
    void restartWatch()
    {
        m_waitingSince.clear();
        m_longestWait = {};
        lost = 0;
    }

    /// Number of lasting tasks whose job was given up.
    [[nodiscard]] std::size_t givenUp() const
    {
        std::size_t n = 0;
        for (std::uint64_t it = 0; it < m_tracked; ++it)
            n += world.stateOf(firstTracked + it) == wire::JOB_STATE_FAILED ? 1 : 0;
        return n;
    }
    /// Number of lasting tasks under which a worker is known to have crashed.
    [[nodiscard]] std::size_t suspected()
    {
        std::size_t n = 0;
        for (std::uint64_t it = 0; it < m_tracked; ++it) {
            const jobs::Job *job =
                    world.driver().scheduler().jobs().find(jobs::JobId { firstTracked + it });
            n += job != nullptr && job->steps().front().tasks[0].crashes().isSuspect() ? 1 : 0;
        }
        return n;
    }
    /// Number of lasting tasks at work.
    [[nodiscard]] std::size_t running()
    {
        std::size_t n = 0;
        for (std::size_t it = 0; it < m_workers; ++it)
            n += tracked(it);
        return n;
    }
    /// Longest time for which a lasting task has had no run although it could.
    [[nodiscard]] Duration longestWait() const { return m_longestWait; }
    [[nodiscard]] std::size_t waiting() const { return m_waitingSince.size(); }

    JobWorld world;
    RandomGenerator random;
    /// Length of the tasks that start all the time.
    std::uint32_t trafficMs = 500;
    /// Lasting tasks that have lost a run.
    std::size_t lost = 0;
    std::vector<std::size_t> down;

private:
    [[nodiscard]] bool isRackUp(std::size_t rack)
    {
        const FakeWorker &one = world.worker(2 * rack);
        const FakeWorker &other = world.worker(2 * rack + 1);
        return one.isUp && other.isUp && !one.draining && !other.draining;
    }

    [[nodiscard]] std::size_t tracked(std::size_t worker)
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(world.worker(worker).running, [](const auto &it) {
                    return it.first.job.value >= firstTracked;
                }));
    }

    void watch()
    {
        const jobs::JobScheduler &scheduler = world.driver().scheduler();
        for (std::uint64_t it = 0; it < m_tracked; ++it) {
            jobs::Job *job = scheduler.jobs().find(jobs::JobId { firstTracked + it });
            if (job == nullptr)
                continue;
            const jobs::TaskState state =
                    jobs::stateOf({ .step = &job->steps().front() }, scheduler.isTakingOver());
            if (!jobs::isWaiting(state) || state == jobs::TaskState::AwaitsTakeOver) {
                m_waitingSince.erase(it);
                continue;
            }
            const Timestamp since =
                    m_waitingSince.try_emplace(it, world.moment().now).first->second;
            m_longestWait = std::max(m_longestWait, world.moment().now - since);
        }
    }

    std::vector<Timestamp> m_nextTraffic;
    std::size_t m_workers;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_tracked = 0;
    std::map<std::uint64_t, Timestamp> m_waitingSince;
    Duration m_longestWait {};
};

} // namespace

TEST_CASE("suspected tasks that outnumber the trials of a round have a run again on a fleet that "
          "is busy all the time")
{
    // Issue 40: a worker was kept for the trial of one of them for a round only.
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        CAPTURE(seed);
        BusyFleet fleet(24 + 4 * (seed % 5), seed);
        fleet.submitLasting(100);
        fleet.run(2s);
        fleet.crashRacks(3);
        if (seed % 2 == 0)
            fleet.changeLeader();
        fleet.run(1s);
        // On half of the seeds nothing may start on those that come back, so that only busy workers
        // are left for trials.
        fleet.revive(seed % 4 >= 2);
        fleet.run(12s);
        CHECK(fleet.lost > 16);
        CHECK(fleet.waiting() == 0);
        CHECK(fleet.longestWait() <= waitBound);
        checkNoBreach(fleet.world);
    }
}

TEST_CASE("a suspected task that needs a long trial has a run again soon on a fleet that is busy "
          "all the time")
{
    // Issue 40: it waited for a worker that had started nothing for the length of its trial, 4.8 s.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        BusyFleet fleet(24, seed);
        fleet.submitLasting(8);
        fleet.run(1s);
        // The whole fleet fails three times, twice with all of them on trial.
        for (int round = 0; round < 3; ++round) {
            fleet.crashRacks(12);
            fleet.run(1s);
            fleet.revive(true);
            for (int it = 0; it < 500 && fleet.running() < 8; ++it)
                fleet.run(20ms);
        }
        fleet.run(2s);
        fleet.trafficMs = 6000;
        fleet.run(6s);
        fleet.restartWatch();
        fleet.crashRacks(4);
        if (seed % 2 == 0)
            fleet.changeLeader();
        fleet.run(1s);
        fleet.revive(false);
        fleet.run(10s);
        CHECK(fleet.lost > 4);
        CHECK(fleet.givenUp() == 0);
        CHECK(fleet.waiting() == 0);
        CHECK(fleet.longestWait() <= waitBound);
        checkNoBreach(fleet.world);
    }
}

TEST_CASE("tasks that ran on a crashed worker for longer than any trial lasts are not suspected")
{
    // Issue 40: tasks that had run for longer than any trial lasts waited for one.
    struct Case
    {
        Duration ranFor;
        bool changesLeaderBefore = false;
        bool changesLeaderAfter = false;
        bool isSuspected = false;
    };
    static constexpr std::array<Case, 5> cases { {
            { .ranFor = 3s, .isSuspected = true },
            { .ranFor = 8s },
            // A leader knows how long they ran from when it adopted them.
            { .ranFor = 3s, .changesLeaderBefore = true, .isSuspected = true },
            { .ranFor = 8s, .changesLeaderBefore = true },
            { .ranFor = 8s, .changesLeaderAfter = true, .isSuspected = true },
    } };
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (const Case &it : cases) {
            CAPTURE(seed);
            CAPTURE(&it - cases.data());
            BusyFleet fleet(24, seed);
            fleet.submitLasting(60);
            if (it.changesLeaderBefore) {
                fleet.run(8s);
                fleet.changeLeader();
            }
            fleet.run(it.ranFor);
            fleet.crashRacks(3);
            if (it.changesLeaderAfter)
                fleet.changeLeader();
            fleet.run(1s);
            fleet.revive(seed % 2 == 0);
            fleet.run(7s);
            CHECK(fleet.lost > 16);
            CHECK(fleet.suspected() == (it.isSuspected ? fleet.lost : 0));
            CHECK(fleet.longestWait() <= waitBound);
            // The replicated record says the same.
            fleet.changeLeader();
            fleet.run(1s);
            CHECK(fleet.suspected() == (it.isSuspected ? fleet.lost : 0));
            CHECK(fleet.waiting() == 0);
            checkNoBreach(fleet.world);
        }
    }
}
