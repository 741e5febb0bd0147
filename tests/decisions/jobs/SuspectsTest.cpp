#include <map>

#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

constexpr std::size_t workerCount = 400;
constexpr std::uint64_t suspectCount = 300;

/// Fixture with many idle workers and as many long-running tasks under which a worker has crashed.
struct SuspectsFixture : SchedulerFixture
{
    SuspectsFixture()
    {
        std::vector<WorkerName> names;
        for (std::size_t it = 0; it < workerCount; ++it) {
            names.push_back({ "many" + std::to_string(it) });
            scheduler.workerReported(at,
                                     { .life = { .name = names.back(),
                                                 .born = { 1 },
                                                 .pool = "pool",
                                                 .address = names.back().value,
                                                 .capacity = { 32'000, 128'000, 0 } },
                                       .sequence = 1,
                                       .clockMs = clockMs() });
        }
        scheduler.workersRecorded(at, names);
        (void)takeRecorded(&scheduler, at);
        auto spec = std::make_shared<JobSpec>();
        spec->steps.push_back({ .count = 1, .size = { 1000, 100, 0 }, .longRunning = true });
        const CrashExposure crash {
            .run = { 50'000 }, .worker = { "gone" }, .born = { 1 }, .hasCrashed = true
        };
        for (std::uint64_t id = 1; id <= suspectCount; ++id)
            scheduler.jobAccepted(
                    at,
                    { .id = { id },
                      .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
                      .spec = spec,
                      .exposures = { { { .job = { id }, .occurrence = 0, .step = 0, .task = 0 },
                                       { crash } } } });
    }
};

} // namespace

TEST_CASE("hundreds of tasks that are suspected at once don't keep the leader from its other work")
{
    // All trials began in one turn, and each search visited all workers. With 1,800 workers the
    // turn exceeded the election timeout, under each new leader again.
    SuspectsFixture fixture;
    std::size_t started = 0;
    std::size_t kept = 0;
    for (Duration passed {}; passed < 1s; passed += 20ms) {
        const std::uint64_t before = fixture.scheduler.counts().trials;
        for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *record = std::get_if<RecordExposures>(&it))
                fixture.scheduler.exposuresRecorded(fixture.at, record->batch);
            if (const auto *start = std::get_if<StartRun>(&it)) {
                ++started;
                fixture.scheduler.startAnswered(fixture.at, start->target.worker, start->run,
                                                OrderOutcome::Done);
            }
        }
        CHECK(fixture.scheduler.counts().trials - before <= CrashSettings {}.maxTrialsPerRound);
        for (const auto &[id, worker] : fixture.scheduler.workers().all())
            kept += fixture.at.now < worker->reservedUntil ? 1 : 0;
        fixture.advance(20ms);
    }
    // All begin within a second, and no worker is reserved for tasks not tried yet.
    CHECK(started == suspectCount);
    CHECK(kept == 0);
}
