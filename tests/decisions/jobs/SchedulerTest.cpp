#include <map>

#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

const StepSpec plain { .count = 1, .size = { 1000, 100, 0 } };

} // namespace

TEST_CASE("a worker that refuses a start and a renewal at once gets work again when it answers")
{
    // A worker without runs was not asked again after a failed renewal, and no report of it
    // counted.
    SchedulerFixture fixture;
    fixture.acceptJob(1, plain);
    for (int worker = 0; worker < 2; ++worker) {
        const auto starts = fixture.take<StartRun>();
        REQUIRE(starts.size() == 1);
        const WorkerId id = starts[0].target.worker;
        fixture.advance(10ms);
        REQUIRE(fixture.take<RenewWorkerLease>().size() == 1);
        fixture.scheduler.startAnswered(fixture.at, id, starts[0].run, OrderOutcome::NotHealthy);
        fixture.scheduler.renewalAnswered(fixture.at, id, false, OrderOutcome::NotHealthy, nullptr);
    }
    CHECK(fixture.answerRenewals(10s).size() == 1);
}

TEST_CASE("a step that names an earlier step twice starts once that step is done")
{
    // It was counted as two steps that have to end, and waited for ever.
    SchedulerFixture fixture;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(plain);
    spec->steps.push_back(plain);
    spec->steps.back().after = { 0, 0 };
    fixture.scheduler.jobAccepted(fixture.at,
                                  { .id = { 1 },
                                    .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
                                    .spec = spec });
    const auto first = fixture.take<StartRun>();
    REQUIRE(first.size() == 1);
    fixture.scheduler.startAnswered(fixture.at, first[0].target.worker, first[0].run,
                                    OrderOutcome::Done);
    const RenewalAnswer lists {
        .sentAt = fixture.at.now,
        .born = { 1 },
        .clockMs = 1000,
        .ended = { { .number = 1, .run = first[0].run, .end = RunEnd::Done } }
    };
    fixture.scheduler.renewalAnswered(fixture.at, first[0].target.worker, false, OrderOutcome::Done,
                                      &lists);
    CHECK(fixture.take<StartRun>().size() == 1);
}

TEST_CASE("a gang that waits for room counts as not begun and uses up no run numbers")
{
    // Each try counted the job as begun and raised the run numbers, which a tenure has 100,000 of.
    SchedulerFixture fixture;
    StepSpec gang = plain;
    gang.count = 3;
    gang.size.millicores = 20'000;
    gang.gang = true;
    fixture.acceptJob(1, gang);
    CHECK(fixture.answerRenewals(1s).empty());
    CHECK(fixture.scheduler.pending("q") == 1);

    fixture.scheduler.workerReported(fixture.at,
                                     { .life = { .name = { "w2" },
                                                 .born = { 1 },
                                                 .pool = "pool",
                                                 .address = "w",
                                                 .capacity = { 32'000, 128'000, 0 } },
                                       .sequence = 1,
                                       .clockMs = 1000 });
    fixture.scheduler.workersRecorded(fixture.at, std::array { WorkerName { "w2" } });
    const auto starts = fixture.answerRenewals(1s);
    REQUIRE(starts.size() == 3);
    for (const StartRun &it : starts)
        CHECK(it.run.run.value == 1);
}

TEST_CASE("a gang that waits for room leaves its workers as they were")
{
    // Each try renewed the lease that a worker may hold, so that a silent one was waited for
    // longer, and ended the time for which a worker was kept for the trial of a member.
    SchedulerFixture fixture;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .count = 3, .size = { 20'000, 100, 0 }, .gang = true });
    const CrashExposure crash {
        .run = { 50'000 }, .worker = { "gone" }, .born = { 1 }, .hasCrashed = true
    };
    const TaskKey member { .job = { 1 }, .occurrence = 0, .step = 0, .task = 0 };
    std::map<WorkerId, Worker::OrderState> before;
    for (const auto &[id, worker] : fixture.scheduler.workers().all()) {
        worker->reservedFor = member;
        worker->reservedUntil = fixture.at.now + 10s;
        before[WorkerId(id)] = worker->orderState();
    }
    fixture.scheduler.jobAccepted(fixture.at,
                                  { .id = { 1 },
                                    .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
                                    .spec = spec,
                                    .exposures = { { member, { crash } } } });
    fixture.at.now += 100ms;
    CHECK(fixture.take<StartRun>().empty());
    CHECK(fixture.scheduler.counts().trials == 0);
    for (const auto &[id, state] : before) {
        const Worker *worker = fixture.scheduler.workers().find(id);
        REQUIRE(worker != nullptr);
        CHECK(worker->runs.empty());
        CHECK(worker->lease.expiresAt() == state.lease.expiresAt());
        CHECK(worker->leaseOrderedAt == state.leaseOrderedAt);
        CHECK(worker->isIncarnationConfirmed == state.isIncarnationConfirmed);
        CHECK(worker->immediateRenewalAt == state.immediateRenewalAt);
        CHECK(worker->trialBeganAt == state.trialBeganAt);
        CHECK(worker->trialEndsAt == state.trialEndsAt);
        CHECK(worker->reservedUntil == state.reservedUntil);
    }
}

TEST_CASE("run ends are acknowledged while a gang waits for room")
{
    // Each try took it as not known which life of the worker answers, so nothing was acknowledged.
    SchedulerFixture fixture;
    fixture.acceptJob(1, plain);
    const auto first = fixture.take<StartRun>();
    REQUIRE(first.size() == 1);
    const WorkerId id = first[0].target.worker;
    fixture.scheduler.startAnswered(fixture.at, id, first[0].run, OrderOutcome::Done);
    StepSpec gang = plain;
    gang.count = 3;
    gang.size.millicores = 20'000;
    gang.gang = true;
    fixture.acceptJob(2, gang);
    const std::array ended { EndedRow { .number = 1, .run = first[0].run, .end = RunEnd::Done } };
    fixture.advance(10ms);
    for (const RenewWorkerLease &it : fixture.take<RenewWorkerLease>())
        fixture.answer(it, ended);
    fixture.advance(20ms);
    const auto records = fixture.take<RecordEnds>();
    REQUIRE(records.size() == 1);
    fixture.scheduler.endsRecorded(fixture.at, records[0].batch);
    CHECK(fixture.answerRenewals(3s, ended).empty());
    CHECK(fixture.scheduler.workers().find(id)->acknowledgedEnds == 1);
}

TEST_CASE("a step that fits is not held up by many steps before it that fit nowhere")
{
    // Guards against jobs that wait for ever: a placement round ended after the first steps that
    // found no worker, and began with the same steps each time.
    SchedulerFixture fixture;
    StepSpec impossible { .count = 1, .size = { 1000, 1000, 0 }, .label = "no-such-label" };
    for (std::uint64_t it = 1; it <= 100; ++it)
        fixture.acceptJob(it, impossible);
    fixture.advance(100ms);
    fixture.acceptJob(1000, { .count = 1, .size = { 1000, 1000, 0 } });
    CHECK_FALSE(fixture.startsWithin(3s, { 1000 }).empty());
}

TEST_CASE("a step whose starts are refused again and again counts as blocked")
{
    // Each refused start made the wait begin anew, so that the step was never overdue nor named.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 } });
    for (Duration passed {}; passed < 6s; passed += 100ms) {
        fixture.advance(100ms);
        fixture.report();
        for (const StartRun &it : fixture.take<StartRun>())
            fixture.scheduler.startAnswered(fixture.at, it.target.worker, it.run,
                                            OrderOutcome::NotHealthy);
    }
    CHECK(fixture.scheduler.counts().blockedSteps == 1);
    CHECK(fixture.scheduler.counts().longestWait >= 4s);
}

TEST_CASE("a job whose only run is unconfirmed is overdue")
{
    // Any run in the table counted as work, whether its worker had it or not.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 2, .size = { 26'000, 100, 0 }, .longRunning = true });
    for (const StartRun &it : fixture.take<StartRun>())
        fixture.scheduler.startAnswered(fixture.at, it.target.worker, it.run, OrderOutcome::Done);
    // Less than half of what a task asks for is unused anywhere, so only overdue ones start.
    fixture.acceptJob(2,
                      { .count = 2, .size = { 14'000, 100, 0 }, .image = "image", .fills = true });
    const std::vector<StartRun> first = fixture.startsWithin(3s, { 2 });
    REQUIRE(first.size() == 1);
    fixture.scheduler.startAnswered(fixture.at, first[0].target.worker, first[0].run,
                                    OrderOutcome::Unanswered);
    const std::vector<StartRun> second = fixture.startsWithin(2500ms, { 2 });
    REQUIRE(second.size() == 1);
    CHECK(second[0].run.task != first[0].run.task);
}

TEST_CASE("a start that was lost and stopped doesn't end the wait for a turn")
{
    // Guards against jobs that have nothing running for 14 s: the confirmed stop of a start that
    // had never reached its worker counted as the end of a run, from which the job waited anew.
    SchedulerFixture fixture;
    for (const bool isListed : { false, true }) {
        CAPTURE(isListed);
        const JobId job { isListed ? 2U : 1U };
        fixture.acceptJob(job.value, { .count = 1, .size = { 1000, 100, 0 } });
        const auto starts = fixture.take<StartRun>();
        REQUIRE(starts.size() == 1);
        const WorkerId worker = starts[0].target.worker;
        const RunKey run = starts[0].run;
        fixture.scheduler.startAnswered(fixture.at, worker, run, OrderOutcome::Unanswered);
        RenewalAnswer answer { .sentAt = fixture.at.now, .born = { 1 }, .clockMs = 1000 };
        if (isListed) {
            answer.running.push_back({ .run = run, .percent = 100 });
            fixture.scheduler.renewalAnswered(fixture.at, worker, false, OrderOutcome::Done,
                                              &answer);
        }
        fixture.scheduler.stopAnswered(fixture.at, worker, run, OrderOutcome::Done);
        fixture.advance(20s);
        fixture.report();
        answer.running.clear();
        answer.sentAt = fixture.at.now;
        answer.clockMs = fixture.clockMs() + 1;
        fixture.scheduler.renewalAnswered(fixture.at, worker, false, OrderOutcome::Done, &answer);
        const Job *found = fixture.scheduler.jobs().find(job);
        REQUIRE(found != nullptr);
        CHECK((found->lastRunOverAt != Timestamp {}) == isListed);
        (void)fixture.take<StartRun>();
    }
}

TEST_CASE("a worker that lists an unreadable end is not asked for its lists without a pause")
{
    // Nothing acknowledges such an end, and a worker that lists an end answers at once.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 }, .longRunning = true });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    fixture.scheduler.startAnswered(fixture.at, starts[0].target.worker, starts[0].run,
                                    OrderOutcome::Done);
    int renewals = 0;
    for (int it = 0; it < 100; ++it) {
        fixture.advance(10ms);
        for (const RenewWorkerLease &renewal : fixture.take<RenewWorkerLease>()) {
            if (renewal.target.worker != starts[0].target.worker)
                continue;
            ++renewals;
            const RenewalAnswer lists { .sentAt = fixture.at.now,
                                        .born = { 1 },
                                        .clockMs = fixture.clockMs(),
                                        .running = { { .run = starts[0].run } },
                                        .unreadableRows = 1 };
            fixture.scheduler.renewalAnswered(fixture.at, renewal.target.worker,
                                              renewal.isImmediate, OrderOutcome::Done, &lists);
        }
    }
    CHECK(renewals <= 10);
}
