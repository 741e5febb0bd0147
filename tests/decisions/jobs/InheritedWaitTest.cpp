#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

const QueueSpec queue { .name = "q", .pool = "pool", .maxAttempts = 3 };

/// Job of one task that was accepted some time ago.
JobView acceptedBefore(const Moment &at, std::uint64_t id, Duration age, const StepSpec &step)
{
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(step);
    return {
        .id = { id }, .queue = queue, .spec = spec, .submittedUs = at.wallMicroseconds - age.count()
    };
}

} // namespace

TEST_CASE("a new leader does not count the wait of a job from its own beginning")
{
    // Callers count from the acceptance of the job or the end of its last run.
    SchedulerFixture fixture;
    const StepSpec plain { .size = { 1000, 1000, 0 }, .estimate = 1s };
    JobView neverRun = acceptedBefore(fixture.at, 1, 9s, plain);
    JobView ranBefore = acceptedBefore(fixture.at, 2, 9s, plain);
    ranBefore.lastRunEndUs = fixture.at.wallMicroseconds - Duration(2s).count();
    const std::vector<JobView> inherited { neverRun, ranBefore };
    fixture.scheduler.begin(fixture.at, { 2 }, {}, inherited, {});
    fixture.report();
    const std::array names { WorkerName { "w0" }, WorkerName { "w1" } };
    fixture.scheduler.workersRecorded(fixture.at, names);
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 2);
    for (const StartRun &it : starts)
        CHECK(it.waited == (it.run.task.job == JobId { 1 } ? Duration(9s) : Duration(2s)));
}

TEST_CASE("a job that has waited under earlier leaders has its turn at once under the next")
{
    // Guards against a wait that starts anew with each leader: with leaders lost more often than
    // turns are due, a job that is too late for its objective had none.
    SchedulerFixture fixture;
    const StepSpec fills { .size = { 24'000, 1000, 0 }, .estimate = 1s, .fills = true };
    std::vector<JobView> inherited;
    for (std::uint64_t id = 1; id <= 4; ++id)
        inherited.push_back(acceptedBefore(fixture.at, id, id == 3 ? 9s : 500ms, fills));
    fixture.scheduler.begin(fixture.at, { 2 }, {}, inherited, {});
    fixture.report();
    const std::array names { WorkerName { "w0" }, WorkerName { "w1" } };
    fixture.scheduler.workersRecorded(fixture.at, names);
    fixture.advance(0ms);
    const auto starts = fixture.take<StartRun>();
    REQUIRE(!starts.empty());
    CHECK(starts.front().run.task.job == JobId { 3 });
}

TEST_CASE("a job whose first time has long passed has not waited before its acceptance")
{
    SchedulerFixture fixture;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .size = { 1000, 1000, 0 }, .estimate = 1s });
    spec->isScheduled = true;
    spec->schedule = { .firstUs = fixture.at.wallMicroseconds - Duration(1h).count() };
    fixture.scheduler.jobAccepted(fixture.at, { .id = { 1 }, .queue = queue, .spec = spec });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().waited == Duration {});
}
