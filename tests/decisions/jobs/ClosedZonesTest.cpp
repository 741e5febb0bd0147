#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

// A task that starts in a closed zone is lost when the zone loses its power. Each test takes one
// way in which the scheduler starts tasks, and shows that the zone is used while it is open.

namespace {

const StepSpec plain { .count = 2, .size = { 1000, 100, 0 } };

/// Steps of every kind that is placed in a way of its own.
std::map<std::string, StepSpec> kindsOfSteps()
{
    std::map<std::string, StepSpec> kinds;
    kinds["plain"] = plain;
    kinds["gang"] = { .count = 2, .size = { 1000, 100, 0 }, .gang = true };
    kinds["gang in one rack"] = {
        .count = 2, .size = { 1000, 100, 0 }, .gang = true, .sameRack = true
    };
    kinds["spread"] = { .count = 1, .size = { 1000, 100, 0 }, .maxPerWorker = 1 };
    kinds["serving"] = { .count = 2,
                         .size = { 6400, 100, 0 },
                         .longRunning = true,
                         .image = "serve",
                         .tailTarget = 50ms };
    kinds["backfill"] = { .count = 2, .size = { 3500, 100, 0 }, .image = "fill", .fills = true };
    kinds["backfill gang"] = {
        .count = 2, .size = { 3500, 100, 0 }, .gang = true, .image = "fill", .fills = true
    };
    return kinds;
}

void close(SchedulerFixture *fixture, std::vector<std::string> zones)
{
    fixture->scheduler.zonesChanged(fixture->at, zones);
}

bool allIn(std::string_view zone, const std::vector<StartRun> &starts)
{
    return std::ranges::all_of(starts, [&](const StartRun &it) { return it.target.zone == zone; });
}

/// Accepts a job of one task under which a worker has crashed: it starts in a trial.
void acceptSuspect(SchedulerFixture *fixture, std::uint64_t id)
{
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .count = 1, .size = { 1000, 100, 0 } });
    const CrashExposure crash {
        .run = { 50'000 }, .worker = { "gone" }, .born = { 1 }, .hasCrashed = true
    };
    fixture->scheduler.jobAccepted(
            fixture->at,
            { .id = { id },
              .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
              .spec = spec,
              .exposures = {
                      { { .job = { id }, .occurrence = 0, .step = 0, .task = 0 }, { crash } } } });
}

/// Batch with the record that a trial begins; 0 when none began.
std::uint64_t trialRecord(SchedulerFixture *fixture)
{
    const auto records = fixture->take<RecordExposures>();
    return records.empty() ? 0 : records.back().batch;
}

} // namespace

TEST_CASE("tasks of every kind start in open zones only")
{
    for (const auto &it : kindsOfSteps()) {
        CAPTURE(it.first);
        const StepSpec &step = it.second;
        SchedulerFixture open({ "a", "b" });
        close(&open, { "b" });
        open.acceptJob(1, step);
        const auto inOpen = open.take<StartRun>();
        CHECK(inOpen.size() == step.count);
        CHECK(allIn("a", inOpen));
        SchedulerFixture closed({ "a", "b" });
        close(&closed, { "a" });
        closed.acceptJob(1, step);
        const auto inClosed = closed.take<StartRun>();
        CHECK(inClosed.size() == step.count);
        CHECK(allIn("b", inClosed));
    }
}

TEST_CASE("a step that is overdue for lack of an open zone starts once a zone is opened")
{
    for (const auto &it : kindsOfSteps()) {
        CAPTURE(it.first);
        const StepSpec &step = it.second;
        SchedulerFixture fixture({ "a", "b" });
        close(&fixture, { "a", "b" });
        fixture.acceptJob(1, step);
        CHECK(fixture.answerRenewals(6s).empty());
        close(&fixture, { "b" });
        const auto starts = fixture.answerRenewals(1s);
        CHECK_FALSE(starts.empty());
        CHECK(allIn("a", starts));
    }
}

TEST_CASE("a copy of a slow task starts in an open zone only")
{
    for (const bool isClosed : { false, true }) {
        CAPTURE(isClosed);
        SchedulerFixture fixture({ "a", "b" });
        StepSpec step = plain;
        step.speculative = true;
        step.maxPerWorker = 1;
        fixture.acceptJob(1, step);
        const auto starts = fixture.take<StartRun>();
        REQUIRE(starts.size() == 2);
        std::map<std::string, EndedRow> ended;
        for (const StartRun &it : starts) {
            fixture.scheduler.startAnswered(fixture.at, it.target.worker, it.run,
                                            OrderOutcome::Done);
            if (it.target.zone == "a")
                ended["a"] = { .number = 1, .run = it.run, .end = RunEnd::Done };
        }
        REQUIRE(ended.contains("a"));
        if (isClosed)
            close(&fixture, { "a" });
        std::vector<StartRun> copies;
        for (Duration passed {}; passed < 4s; passed += 100ms) {
            fixture.advance(100ms);
            fixture.report();
            for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
                if (const auto *start = std::get_if<StartRun>(&it))
                    copies.push_back(*start);
                const auto *renewal = std::get_if<RenewWorkerLease>(&it);
                if (renewal == nullptr)
                    continue;
                RenewalAnswer lists { .sentAt = fixture.at.now,
                                      .born = { 1 },
                                      .clockMs = fixture.clockMs() };
                if (renewal->target.zone == "a" && renewal->recordedEnds == 0)
                    lists.ended.push_back(ended["a"]);
                for (const StartRun &run : starts) {
                    if (run.target.worker == renewal->target.worker && run.target.zone == "b")
                        lists.running.push_back({ .run = run.run });
                }
                fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                                  renewal->isImmediate, OrderOutcome::Done, &lists);
            }
        }
        CHECK(copies.empty() == isClosed);
    }
}

TEST_CASE("a trial begins in an open zone only")
{
    for (const bool isClosed : { false, true }) {
        CAPTURE(isClosed);
        SchedulerFixture fixture({ "a", "a" });
        if (isClosed)
            close(&fixture, { "a" });
        acceptSuspect(&fixture, 1);
        CHECK((trialRecord(&fixture) == 0) == isClosed);
        CHECK((fixture.scheduler.counts().trials == 0) == isClosed);
    }
}

TEST_CASE("a trial whose zone closes while its record is written is abandoned")
{
    SchedulerFixture fixture({ "a", "a" });
    acceptSuspect(&fixture, 1);
    const std::uint64_t batch = trialRecord(&fixture);
    REQUIRE(batch != 0);
    close(&fixture, { "a" });
    fixture.scheduler.exposuresRecorded(fixture.at, batch);
    CHECK(fixture.take<StartRun>().empty());
    CHECK(fixture.answerRenewals(3s).empty());
    // The task is not lost: it is tried again in an open zone.
    close(&fixture, {});
    fixture.advance(100ms);
    fixture.report();
    const std::uint64_t again = trialRecord(&fixture);
    REQUIRE(again != 0);
    fixture.scheduler.exposuresRecorded(fixture.at, again);
    CHECK(fixture.take<StartRun>().size() == 1);
}

TEST_CASE("a start that was decided and not carried out is taken back when its zone closes")
{
    // A leader that is not sure of its lease keeps what it has decided until it is.
    SchedulerFixture fixture({ "a", "b" });
    close(&fixture, { "b" });
    acceptSuspect(&fixture, 1);
    const std::uint64_t batch = trialRecord(&fixture);
    REQUIRE(batch != 0);
    fixture.scheduler.exposuresRecorded(fixture.at, batch);
    close(&fixture, { "a", "b" });
    CHECK(fixture.take<StartRun>().empty());
    CHECK(std::ranges::all_of(fixture.scheduler.workers().all(),
                              [](const auto &it) { return it.second->runs.empty(); }));
    // The task starts elsewhere.
    close(&fixture, { "a" });
    fixture.advance(100ms);
    fixture.report();
    const std::uint64_t again = trialRecord(&fixture);
    REQUIRE(again != 0);
    fixture.scheduler.exposuresRecorded(fixture.at, again);
    const auto starts = fixture.take<StartRun>();
    CHECK(starts.size() == 1);
    CHECK(allIn("b", starts));
}

TEST_CASE("a new leader starts nothing in a zone that was closed under an earlier one")
{
    for (const bool isClosed : { false, true }) {
        CAPTURE(isClosed);
        SchedulerFixture fixture({ "a", "a" });
        std::vector<WorkerLife> workers;
        for (const auto &[id, worker] : fixture.scheduler.workers().all())
            workers.push_back(worker->life);
        auto spec = std::make_shared<JobSpec>();
        spec->steps.push_back(plain);
        const std::vector<JobView> inherited {
            { .id = { 1 },
              .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
              .spec = spec }
        };
        std::vector<std::string> zones;
        if (isClosed)
            zones.emplace_back("a");
        fixture.scheduler.begin(fixture.at, { 2 }, {}, inherited, workers, {}, zones);
        CHECK(fixture.answerRenewals(10s).empty() == isClosed);
    }
}

TEST_CASE("runs in a zone that closes go on, and their ends count")
{
    SchedulerFixture fixture({ "a", "a" });
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 } });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    fixture.scheduler.startAnswered(fixture.at, starts[0].target.worker, starts[0].run,
                                    OrderOutcome::Done);
    close(&fixture, { "a" });
    CHECK(fixture.take<StopRun>().empty());
    RenewalAnswer lists { .sentAt = fixture.at.now, .born = { 1 }, .clockMs = fixture.clockMs() };
    lists.ended.push_back({ .number = 1, .run = starts[0].run, .end = RunEnd::Done });
    fixture.scheduler.renewalAnswered(fixture.at, starts[0].target.worker, false,
                                      OrderOutcome::Done, &lists);
    CHECK(fixture.scheduler.counts().done == 1);
}
