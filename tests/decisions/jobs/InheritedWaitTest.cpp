#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>

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

TEST_CASE("inherited jobs do not wait for a silent worker that is not running them")
{
    // One silent worker held up all tasks of an earlier leader until its lease had ended.
    SchedulerFixture fixture;
    const StepSpec plain { .size = { 1000, 1000, 0 }, .estimate = 1s };
    const auto exposedOn = [&](std::uint64_t id, const std::string &worker, bool isOver) {
        JobView job = acceptedBefore(fixture.at, id, 1s, plain);
        const CrashExposure exposure {
            .run = { 1 }, .worker = { worker }, .born = { 1 }, .isOver = isOver
        };
        job.exposures.push_back({ { .job = { id } }, { exposure } });
        return job;
    };
    const std::array inherited { acceptedBefore(fixture.at, 1, 1s, plain),
                                 exposedOn(2, "w0", false), exposedOn(3, "w1", true),
                                 exposedOn(4, "w1", false) };
    std::vector<WorkerLife> recorded;
    for (const char *it : { "w0", "w1" })
        recorded.push_back({ .name = { it },
                             .born = { 1 },
                             .pool = "pool",
                             .address = "w",
                             .capacity = { 32'000, 128'000, 0 } });
    fixture.scheduler.begin(fixture.at, { 2 }, {}, inherited, recorded);
    const Timestamp beganAt = fixture.at.now;
    std::map<JobId, Duration> startedAfter;
    while (fixture.at.now - beganAt < 8s) {
        fixture.advance(100ms);
        fixture.report();
        for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *start = std::get_if<StartRun>(&it)) {
                CHECK(start->target.name.value == "w0");
                startedAfter.emplace(start->run.task.job, fixture.at.now - beganAt);
                fixture.scheduler.startAnswered(fixture.at, start->target.worker, start->run,
                                                OrderOutcome::Done);
            }
            const auto *renewal = std::get_if<RenewWorkerLease>(&it);
            if (renewal == nullptr)
                continue;
            if (renewal->target.name.value == "w0")
                fixture.answer(*renewal, {});
            else
                fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                                  renewal->isImmediate, OrderOutcome::Unanswered,
                                                  nullptr);
        }
    }
    REQUIRE(startedAfter.size() == 4);
    for (const std::uint64_t it : { 1, 2, 3 })
        CHECK(startedAfter.at({ it }) <= 1500ms);
    CHECK(startedAfter.at({ 4 }) >= JobSchedulerSettings {}.lease);
}

TEST_CASE("a start is not ordered before a later leader would know of it")
{
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .size = { 1000, 1000, 0 }, .estimate = 1s });
    const Commands commands = fixture.scheduler.takeCommands(fixture.at);
    const RecordExposures *record = nullptr;
    std::optional<StartRun> start;
    for (const Command &it : commands) {
        if (const auto *exposures = std::get_if<RecordExposures>(&it))
            record = exposures;
        if (const auto *order = std::get_if<StartRun>(&it))
            start = *order;
    }
    REQUIRE(start);
    REQUIRE(record != nullptr);
    CHECK(start->recordedBy == record->batch);
    REQUIRE(record->records.size() == 1);
    CHECK(record->records[0].change == ExposureChange::Opened);
    CHECK(record->records[0].task == start->run.task);
    CHECK(record->records[0].exposure.worker == start->target.name);

    // The lease is granted as the order is sent, however long the record takes.
    const std::int64_t before = start->leaseEndMs;
    fixture.advance(1s);
    fixture.scheduler.exposuresRecorded(fixture.at, record->batch);
    CHECK(fixture.scheduler.confirmStart(fixture.at, &*start));
    CHECK(start->leaseEndMs >= before + 1000);
}

TEST_CASE("a start whose job is cancelled while it is recorded is not ordered")
{
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .size = { 1000, 1000, 0 }, .estimate = 1s });
    std::optional<StartRun> start;
    for (const Command &it : fixture.scheduler.takeCommands(fixture.at)) {
        if (const auto *order = std::get_if<StartRun>(&it))
            start = *order;
    }
    REQUIRE(start);
    fixture.scheduler.jobCancelled(fixture.at, { 1 });
    fixture.scheduler.exposuresRecorded(fixture.at, start->recordedBy);
    CHECK_FALSE(fixture.scheduler.confirmStart(fixture.at, &*start));
    CHECK(fixture.scheduler.workers().find({ "w0" })->runs.empty());
    CHECK(fixture.scheduler.workers().find({ "w1" })->runs.empty());
}

TEST_CASE("a new leader learns of a failed run before its worker counts as without it")
{
    // Where the exposure were cleared before the end is recorded, a leader that knows neither
    // would start the task again beside a worker that still has to list the end.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .size = { 1000, 1000, 0 }, .estimate = 1s });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    fixture.scheduler.startAnswered(fixture.at, starts[0].target.worker, starts[0].run,
                                    OrderOutcome::Done);
    RenewalAnswer lists { .sentAt = fixture.at.now, .born = { 1 }, .clockMs = fixture.clockMs() };
    lists.ended.push_back({ .number = 1, .run = starts[0].run, .end = RunEnd::Failed });
    fixture.scheduler.renewalAnswered(fixture.at, starts[0].target.worker, false,
                                      OrderOutcome::Done, &lists);
    fixture.advance(100ms);
    const auto isCleared = [](const RecordExposures &record) {
        return std::ranges::any_of(record.records, [](const ExposureRecord &it) {
            return it.change == ExposureChange::Cleared;
        });
    };
    std::uint64_t batch = 0;
    for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
        if (const auto *exposures = std::get_if<RecordExposures>(&it))
            CHECK_FALSE(isCleared(*exposures));
        if (const auto *ends = std::get_if<RecordEnds>(&it))
            batch = ends->batch;
    }
    REQUIRE(batch != 0);
    fixture.scheduler.endsRecorded(fixture.at, batch);
    fixture.advance(100ms);
    CHECK(std::ranges::any_of(fixture.take<RecordExposures>(), isCleared));
}
