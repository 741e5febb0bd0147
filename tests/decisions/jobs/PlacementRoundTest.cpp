#include <doctest/doctest.h>

#include "acaciafork/decisions/jobs/Jobs.h"

using namespace acaciafork;
using namespace acaciafork::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp start = timestampFromMicroseconds(10'000'000);

/// A fleet and steps drawn from a seed.
struct RandomFleet
{
    explicit RandomFleet(std::uint64_t seed)
        : random(seed)
    {
        for (std::uint64_t it = 0; it < 40; ++it) {
            Worker &worker = workers.add(
                    { .name = { "w" + std::to_string(it) },
                      .born = { 1 },
                      .pool = draw(8) == 0 ? "other" : "pool",
                      .labels = { draw(2) == 0 ? "a" : "b" },
                      .rack = { "rack-" + std::to_string(it / 8) },
                      .capacity = { draw(2) == 0 ? 32'000 : 48'000,
                                    static_cast<std::int64_t>(40'000 + draw(90'000)), 0 } });
            worker.isRecorded = draw(12) != 0;
            worker.isKnown = true;
            worker.lastHeardAt = start - Duration(draw(3) == 0 ? 2'600'000 : 0);
            worker.lease.observe(start, 1000);
            worker.consecutiveFailures = draw(10) == 0 ? 2 : 0;
            if (draw(4) == 0)
                worker.warmAt = start + std::chrono::milliseconds(draw(20'000));
        }
    }

    std::uint64_t draw(std::uint64_t n) { return random() % n; }

    StepSpec drawStep()
    {
        StepSpec spec { .count = static_cast<std::uint32_t>(1 + draw(30)),
                        .size = { static_cast<std::int64_t>(1000 + draw(12'000)),
                                  static_cast<std::int64_t>(1000 + draw(20'000)), 0 },
                        .estimate = std::chrono::milliseconds(draw(20'000)),
                        .image = "image-" + std::to_string(draw(4)) };
        switch (draw(5)) {
        case 0:
            spec.fills = true;
            break;
        case 1:
            spec.longRunning = true;
            spec.tailTarget = 50ms;
            break;
        case 2:
            spec.sameRack = true;
            break;
        case 3:
            spec.maxPerWorker = 2;
            spec.label = draw(2) == 0 ? "a" : "";
            break;
        default:
            spec.dataRack = { "rack-" + std::to_string(draw(5)) };
            break;
        }
        return spec;
    }

    RandomGenerator random;
    TailInterference interference;
    Placer placer { { .prefersWarmWorkers = true }, &interference };
    WorkerTable workers;
    JobTable jobs;
};

} // namespace

TEST_CASE("a placement round chooses what a look at every worker for every task would choose")
{
    std::size_t placed = 0;
    std::size_t failed = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        RandomFleet fleet(seed);
        PlacementRound round(&fleet.placer);
        for (std::uint64_t id = 1; id <= 12; ++id) {
            auto spec = std::make_shared<JobSpec>();
            spec->steps.push_back(fleet.drawStep());
            Job *job = fleet.jobs.add(
                    start, 0,
                    { .id = { id }, .queue = { .name = "q", .pool = "pool" }, .spec = spec },
                    { .name = "q", .pool = "pool" });
            Step &step = fleet.jobs.open(start, job, 0)->steps.front();
            step.image = fleet.interference.intern(step.spec->image);
            round.rank(start, fleet.workers, step);
            for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
                Task &task = step.tasks[it];
                if (fleet.draw(6) == 0)
                    TaskRef { .step = &step, .task = it }.ensureRecord().lastFailedWorker = {
                        static_cast<std::uint32_t>(1 + fleet.draw(40))
                    };
                Worker *expected = fleet.placer.choose(start, fleet.workers, step, task);
                Worker *worker = round.choose(task);
                REQUIRE(worker == expected);
                if (worker == nullptr) {
                    ++failed;
                    break;
                }
                ++placed;
                TaskRef { .step = &step, .task = it }.ensureRecord().runs[0] = {
                    .number = { 1 }, .phase = RunPhase::Running, .worker = worker->id
                };
                worker->runs.push_back({ .task = { .step = &step, .task = it }, .slot = 0 });
                worker->reserve(step);
                step.rack = worker->life.rack;
                round.placed();
            }
        }
    }
    CHECK(placed > 1000);
    CHECK(failed > 100);
}
