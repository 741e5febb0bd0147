#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>

#include "tests/decisions/jobs/SchedulerFixture.h"

// Findings of the review of issue 61: these tests fail.

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

struct StartRecordFixture : SchedulerFixture
{
    using SchedulerFixture::SchedulerFixture;

    /// Takes the commands without committing the records, and returns the first start.
    std::optional<StartRun> takeUnrecorded()
    {
        for (const Command &it : scheduler.takeCommands(at)) {
            if (const auto *order = std::get_if<StartRun>(&it))
                return *order;
        }
        return {};
    }

    bool commit(StartRun *start)
    {
        scheduler.exposuresRecorded(at, start->recordedBy);
        return scheduler.confirmStart(at, start);
    }

    /// Lets time pass in which all workers but one report and answer; records the changes of
    /// exposures of run `number`.
    void pass(Duration length, RunNumber number, const std::string &silent = {})
    {
        for (Duration passed {}; passed < length; passed += 100ms) {
            advance(100ms);
            for (const Command &it : takeRecorded(&scheduler, at)) {
                if (const auto *record = std::get_if<RecordExposures>(&it)) {
                    for (const ExposureRecord &row : record->records) {
                        if (row.exposure.run == number)
                            changes.push_back(row);
                    }
                }
                if (const auto *start = std::get_if<StartRun>(&it)) {
                    starts.push_back(*start);
                    scheduler.startAnswered(at, start->target.worker, start->run,
                                            OrderOutcome::Done);
                }
                const auto *renewal = std::get_if<RenewWorkerLease>(&it);
                if (renewal == nullptr)
                    continue;
                if (renewal->target.name.value == silent)
                    scheduler.renewalAnswered(at, renewal->target.worker, renewal->isImmediate,
                                              OrderOutcome::Unanswered, nullptr);
                else
                    answerWithRuns(*renewal);
            }
        }
    }

    /// A list with the runs started in pass().
    void answerWithRuns(const RenewWorkerLease &renewal)
    {
        RenewalAnswer lists { .sentAt = at.now, .born = renewal.target.born, .clockMs = clockMs() };
        for (const StartRun &it : starts) {
            if (it.target.worker == renewal.target.worker)
                lists.running.push_back({ .run = it.run });
        }
        scheduler.renewalAnswered(at, renewal.target.worker, renewal.isImmediate,
                                  OrderOutcome::Done, &lists);
    }

    [[nodiscard]] bool isOver() const
    {
        return std::ranges::any_of(changes, [](const ExposureRecord &it) {
            return it.change == ExposureChange::Cleared || it.change == ExposureChange::Over
                    || it.exposure.isOver;
        });
    }

    std::vector<ExposureRecord> changes;
    std::vector<StartRun> starts;
};

WorkerLife lifeOf(const std::string &name, std::uint64_t born = 1)
{
    return { .name = { name },
             .born = { born },
             .pool = "pool",
             .address = "w",
             .capacity = { 32'000, 128'000, 0 } };
}

JobView inherited(std::uint64_t id, const StepSpec &step, const CrashExposure &exposure)
{
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(step);
    return { .id = { id },
             .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
             .spec = spec,
             .exposures = { { { .job = { id } }, { exposure } } } };
}

} // namespace

TEST_CASE("no start is ordered on the old pool of a queue that has moved while it was "
          "recorded")
{
    StartRecordFixture fixture;
    const QueueSpec before { .name = "q", .pool = "pool", .maxAttempts = 3 };
    fixture.scheduler.queuesChanged(fixture.at, std::array { before });
    fixture.acceptJob(1, { .size = { 1000, 1000, 0 }, .estimate = 1s }, before);
    std::optional<StartRun> start = fixture.takeUnrecorded();
    REQUIRE(start);
    QueueSpec after = before;
    after.pool = "other";
    fixture.scheduler.queuesChanged(fixture.at, std::array { after });
    fixture.advance(1s);
    CHECK_FALSE(fixture.commit(&*start));
}

TEST_CASE("no start is ordered beyond the capacity that its worker has left while it was "
          "recorded said to have")
{
    StartRecordFixture fixture;
    fixture.acceptJob(1, { .size = { 20'000, 1000, 0 }, .estimate = 1s });
    std::optional<StartRun> start = fixture.takeUnrecorded();
    REQUIRE(start);
    WorkerLife life = lifeOf(start->target.name.value);
    life.capacity = { 16'000, 128'000, 0 };
    fixture.scheduler.workerReported(
            fixture.at,
            { .life = life, .sequence = ++fixture.sequence, .clockMs = fixture.clockMs() });
    CHECK_FALSE(fixture.commit(&*start));
}

TEST_CASE("a run that a later list shows to be over is not recorded as maybe at work after "
          "a crash of its worker")
{
    // Started, never listed; its worker starts again and lists nothing.
    StartRecordFixture fixture;
    fixture.acceptJob(1, { .size = { 1000, 1000, 0 }, .estimate = 1s, .longRunning = true });
    const auto ordered = fixture.take<StartRun>();
    REQUIRE(ordered.size() == 1);
    const StartRun &start = ordered[0];
    fixture.scheduler.startAnswered(fixture.at, start.target.worker, start.run, OrderOutcome::Done);
    fixture.advance(100ms);
    fixture.scheduler.workerReported(
            fixture.at,
            { .life = lifeOf(start.target.name.value, 2), .sequence = 1, .clockMs = 10 });
    fixture.pass(3s, start.run.run);
    // The new life has listed everything, and the task runs elsewhere or there again.
    REQUIRE(!fixture.starts.empty());
    REQUIRE(!fixture.changes.empty());
    CHECK(fixture.isOver());
}

TEST_CASE("an inherited run that had passed its trial is not recorded as maybe at work "
          "though its worker lists it no more")
{
    StartRecordFixture fixture;
    const CrashExposure exposure {
        .run = { 1 }, .worker = { "w1" }, .born = { 1 }, .isTrial = true, .hasSurvived = true
    };
    const std::array jobs { inherited(
            1, { .size = { 1000, 1000, 0 }, .estimate = 1s, .longRunning = true }, exposure) };
    const std::array recorded { lifeOf("w0"), lifeOf("w1") };
    fixture.scheduler.begin(fixture.at, { 2 }, {}, jobs, recorded);
    fixture.report();
    fixture.pass(3s, { 1 });
    REQUIRE(!fixture.starts.empty());
    CHECK(fixture.isOver());
}

TEST_CASE("an inherited run that a crash has exposed is not recorded as maybe at work "
          "though its worker lists it no more")
{
    StartRecordFixture fixture;
    const CrashExposure exposure {
        .run = { 1 }, .worker = { "w1" }, .born = { 1 }, .hasCrashed = true
    };
    const std::array jobs { inherited(
            1, { .size = { 1000, 1000, 0 }, .estimate = 1s, .longRunning = true }, exposure) };
    const std::array recorded { lifeOf("w0"), lifeOf("w1", 2) };
    fixture.scheduler.begin(fixture.at, { 2 }, {}, jobs, recorded);
    fixture.pass(3s, { 1 });
    REQUIRE(!fixture.starts.empty());
    CHECK(fixture.isOver());
}

TEST_CASE("a task waits for a draining worker that has started again and may carry out its order")
{
    // Without drain it waits for the new life's list (inherited steps start although a worker
    // restarts ...).
    for (const bool draining : { false, true }) {
        CAPTURE(draining);
        StartRecordFixture fixture;
        const CrashExposure exposure { .run = { 1 }, .worker = { "w1" }, .born = { 1 } };
        const std::array jobs { inherited(1, { .size = { 1000, 1000, 0 }, .estimate = 1s },
                                          exposure) };
        std::array recorded { lifeOf("w0"), lifeOf("w1") };
        recorded[1].draining = draining;
        fixture.scheduler.begin(fixture.at, { 2 }, {}, jobs, recorded);
        const WorkerReport other { .life = lifeOf("w0"),
                                   .sequence = 1,
                                   .clockMs = fixture.clockMs() };
        fixture.scheduler.workerReported(fixture.at, other);
        fixture.pass(200ms, { 1 }, "w1");
        fixture.scheduler.workerReported(fixture.at,
                                         { .life = lifeOf("w1", 2), .sequence = 1, .clockMs = 10 });
        fixture.pass(2s, { 1 }, "w1");
        CHECK(fixture.starts.empty());
    }
}

TEST_CASE("speculative copies take no workers while no start can be recorded")
{
    StartRecordFixture fixture;
    fixture.acceptJob(
            1, { .count = 2, .size = { 1000, 1000, 0 }, .estimate = 100ms, .speculative = true });
    std::vector<StartRun> ordered;
    for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
        if (const auto *start = std::get_if<StartRun>(&it)) {
            ordered.push_back(*start);
            fixture.scheduler.startAnswered(fixture.at, start->target.worker, start->run,
                                            OrderOutcome::Done);
        }
    }
    REQUIRE(ordered.size() == 2);
    // The first is done, and nothing can be recorded from now on.
    std::size_t copies = 0;
    bool isEnded = false;
    for (Duration passed {}; passed < 9s; passed += 100ms) {
        fixture.advance(100ms);
        fixture.report();
        for (const Command &it : fixture.scheduler.takeCommands(fixture.at)) {
            copies += std::get_if<StartRun>(&it) != nullptr ? 1 : 0;
            const auto *renewal = std::get_if<RenewWorkerLease>(&it);
            if (renewal == nullptr)
                continue;
            RenewalAnswer lists { .sentAt = fixture.at.now,
                                  .born = { 1 },
                                  .clockMs = fixture.clockMs() };
            if (renewal->target.worker == ordered[0].target.worker) {
                lists.ended.push_back({ .number = 1, .run = ordered[0].run, .end = RunEnd::Done });
                isEnded = true;
            }
            if (renewal->target.worker == ordered[1].target.worker)
                lists.running.push_back({ .run = ordered[1].run });
            fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                              renewal->isImmediate, OrderOutcome::Done, &lists);
        }
    }
    REQUIRE(isEnded);
    CHECK(copies <= 1);
}
