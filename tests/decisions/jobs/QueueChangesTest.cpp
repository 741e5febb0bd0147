#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

// The definition of a queue changes while its jobs wait, run or are about to start.

namespace {

const StepSpec plain { .count = 1, .size = { 1000, 100, 0 } };

QueueSpec queueIn(const std::string &pool)
{
    return { .name = "q", .address = "host/q/", .pool = pool, .maxAttempts = 3 };
}

/// Fixture with a pool of two workers, and two workers of another pool.
struct QueueFixture : SchedulerFixture
{
    explicit QueueFixture(const JobSchedulerSettings &settings = {})
        : SchedulerFixture({}, settings)
    {
        define({ queueIn("pool") });
        reportOther();
        scheduler.workersRecorded(at, std::array { WorkerName { "o0" }, WorkerName { "o1" } });
        (void)takeRecorded(&scheduler, at);
    }

    void define(const std::vector<QueueSpec> &queues) { scheduler.queuesChanged(at, queues); }

    void reportOther()
    {
        ++otherSequence;
        for (const char *name : { "o0", "o1" })
            scheduler.workerReported(at,
                                     { .life = { .name = { name },
                                                 .born = { 1 },
                                                 .pool = "other",
                                                 .address = name,
                                                 .capacity = { 32'000, 128'000, 0 } },
                                       .sequence = otherSequence,
                                       .clockMs = clockMs() });
    }

    /// Lets time pass in which the workers report and answer each renewal with what they run.
    /// @return starts of the jobs but the one with id `except`; each is confirmed at once
    std::vector<StartRun> run(Duration length, std::uint64_t except = 0)
    {
        std::vector<StartRun> starts;
        for (Duration passed {}; passed < length; passed += 50ms) {
            advance(50ms);
            report();
            reportOther();
            for (const Command &it : takeRecorded(&scheduler, at)) {
                if (const auto *start = std::get_if<StartRun>(&it))
                    confirm(*start, except, &starts);
                if (const auto *record = std::get_if<RecordExposures>(&it))
                    scheduler.exposuresRecorded(at, record->batch);
                if (const auto *record = std::get_if<RecordEnds>(&it)) {
                    for (const JobId job : record->failedJobs)
                        failed.push_back(job.value);
                    scheduler.endsRecorded(at, record->batch);
                }
                if (const auto *request = std::get_if<RequestPermits>(&it))
                    requests.push_back(*request);
                if (const auto *renewal = std::get_if<RenewWorkerLease>(&it))
                    answerWith(*renewal);
            }
        }
        return starts;
    }

    void confirm(const StartRun &start, std::uint64_t except, std::vector<StartRun> *starts)
    {
        running[start.target.name].push_back(start.run);
        scheduler.startAnswered(at, start.target.worker, start.run, OrderOutcome::Done);
        if (start.run.task.job.value != except)
            starts->push_back(start);
    }

    void answerWith(const RenewWorkerLease &renewal)
    {
        RenewalAnswer lists { .sentAt = at.now, .born = { 1 }, .clockMs = clockMs() };
        for (const RunKey &it : running[renewal.target.name])
            lists.running.push_back({ .run = it, .percent = wholePercent });
        for (const EndedRow &it : ended[renewal.target.name]) {
            if (it.number > renewal.recordedEnds)
                lists.ended.push_back(it);
        }
        scheduler.renewalAnswered(at, renewal.target.worker, renewal.isImmediate,
                                  OrderOutcome::Done, &lists);
    }

    void end(const StartRun &start, RunEnd how)
    {
        std::erase(running[start.target.name], start.run);
        std::vector<EndedRow> &rows = ended[start.target.name];
        rows.push_back({ .number = rows.size() + 1, .run = start.run, .end = how });
    }

    /// Takes up the whole first pool with a job of a queue of its own.
    void fillPool()
    {
        acceptJob(fillingJob, { .count = 2, .size = { 32'000, 100, 0 } },
                  { .name = "filling", .pool = "pool", .maxAttempts = 3 });
        REQUIRE(run(200ms).size() == 2);
    }

    static constexpr std::uint64_t fillingJob = 1000;
    std::uint64_t otherSequence = 0;
    std::map<WorkerName, std::vector<RunKey>> running;
    std::map<WorkerName, std::vector<EndedRow>> ended;
    std::vector<std::uint64_t> failed;
    std::vector<RequestPermits> requests;
};

bool allOn(std::string_view prefix, const std::vector<StartRun> &starts)
{
    return std::ranges::all_of(
            starts, [&](const StartRun &it) { return it.target.name.value.starts_with(prefix); });
}

std::map<std::string, StepSpec> kindsOfSteps()
{
    return { { "plain", { .count = 2, .size = { 1000, 100, 0 } } },
             { "gang", { .count = 2, .size = { 1000, 100, 0 }, .gang = true } },
             { "spread", { .count = 2, .size = { 1000, 100, 0 }, .maxPerWorker = 1 } },
             { "serving",
               { .count = 2,
                 .size = { 6400, 100, 0 },
                 .longRunning = true,
                 .image = "serve",
                 .tailTarget = 50ms } },
             { "lasting gang",
               { .count = 2, .size = { 1000, 100, 0 }, .gang = true, .longRunning = true } } };
}

/// Job of one task under which a worker has crashed: it starts in a trial.
JobView suspect(std::uint64_t id)
{
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(plain);
    const CrashExposure crash {
        .run = { 50'000 }, .worker = { "gone" }, .born = { 1 }, .hasCrashed = true
    };
    return { .id = { id },
             .queue = queueIn("pool"),
             .spec = spec,
             .exposures = {
                     { { .job = { id }, .occurrence = 0, .step = 0, .task = 0 }, { crash } } } };
}

JobView failedBefore(std::uint64_t id, const std::vector<std::uint64_t> &runs)
{
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(plain);
    return { .id = { id },
             .queue = queueIn("pool"),
             .spec = spec,
             .failures = { { { .job = { id }, .occurrence = 0, .step = 0, .task = 0 }, runs } } };
}

} // namespace

TEST_CASE("jobs that wait when their queue moves to another pool run there")
{
    // Each job kept the pool that its queue had when it was accepted, and waited for it for ever.
    for (const auto &it : kindsOfSteps()) {
        CAPTURE(it.first);
        QueueFixture fixture;
        fixture.fillPool();
        fixture.acceptJob(1, it.second, queueIn("pool"));
        CHECK(fixture.run(1s).empty());
        fixture.define({ queueIn("other") });
        const auto starts = fixture.run(1s);
        CHECK(starts.size() == it.second.count);
        CHECK(allOn("o", starts));
    }
}

TEST_CASE("a later step and a later occurrence run in the pool that their queue has by then")
{
    QueueFixture fixture;
    auto steps = std::make_shared<JobSpec>();
    steps->steps = { plain, plain };
    steps->steps.back().after = { 0 };
    fixture.scheduler.jobAccepted(fixture.at,
                                  { .id = { 1 }, .queue = queueIn("pool"), .spec = steps });
    auto scheduled = std::make_shared<JobSpec>();
    scheduled->steps = { plain };
    scheduled->isScheduled = true;
    scheduled->schedule = { .firstUs = fixture.at.wallMicroseconds + 2'000'000, .times = 1 };
    fixture.scheduler.jobAccepted(fixture.at,
                                  { .id = { 2 }, .queue = queueIn("pool"), .spec = scheduled });
    const auto first = fixture.run(500ms);
    REQUIRE(first.size() == 1);
    CHECK(allOn("w", first));
    fixture.define({ queueIn("other") });
    fixture.end(first[0], RunEnd::Done);
    const auto starts = fixture.run(3s);
    CHECK(starts.size() == 2);
    CHECK(allOn("o", starts));
}

TEST_CASE("changes of a queue in a row and undone leave its jobs where it points last")
{
    QueueFixture fixture;
    fixture.fillPool();
    fixture.acceptJob(1, plain, queueIn("pool"));
    fixture.define({ queueIn("other") });
    fixture.define({ queueIn("third") });
    fixture.define({ queueIn("pool") });
    CHECK(fixture.run(2s).empty());
    fixture.define({});
    CHECK(fixture.run(2s).empty());
    fixture.define({ queueIn("other") });
    CHECK(fixture.run(500ms).size() == 1);
}

TEST_CASE("jobs of a queue that is removed run where it pointed last")
{
    // They fell back to the pool that the queue had when they were accepted.
    QueueFixture fixture;
    fixture.fillPool();
    fixture.acceptJob(1, plain, queueIn("pool"));
    fixture.define({ queueIn("third") });
    CHECK(fixture.run(1s).empty());
    fixture.define({ queueIn("other") });
    fixture.define({});
    const auto starts = fixture.run(500ms);
    CHECK(starts.size() == 1);
    CHECK(allOn("o", starts));
}

TEST_CASE("jobs of a queue that is renamed go by its new definition")
{
    QueueFixture fixture;
    fixture.fillPool();
    fixture.acceptJob(1, plain, queueIn("pool"));
    QueueSpec renamed = queueIn("other");
    renamed.name = "r";
    fixture.define({ renamed });
    CHECK(fixture.scheduler.pending("r") == 1);
    CHECK(fixture.run(500ms).size() == 1);
    CHECK(fixture.scheduler.pending("r") == 0);
}

TEST_CASE("runs at work when their queue moves go on, and start again in its new pool")
{
    for (const auto &it : kindsOfSteps()) {
        CAPTURE(it.first);
        QueueFixture fixture;
        fixture.acceptJob(1, it.second, queueIn("pool"));
        const auto starts = fixture.run(500ms);
        REQUIRE(starts.size() == it.second.count);
        fixture.define({ queueIn("other") });
        CHECK(fixture.run(2s).empty());
        for (const auto &[id, worker] : fixture.scheduler.workers().all()) {
            for (const RunRef &run : worker->runs)
                CHECK(run.get().phase == RunPhase::Running);
        }
        for (const StartRun &start : starts)
            fixture.end(start, RunEnd::Lapsed);
        const auto again = fixture.run(2s);
        CHECK(again.size() == it.second.count);
        CHECK(allOn("o", again));
    }
}

TEST_CASE("a start that is ordered and not answered when its queue moves is settled as usual")
{
    for (const OrderOutcome outcome :
         { OrderOutcome::Done, OrderOutcome::NoRoom, OrderOutcome::Unanswered }) {
        CAPTURE(orderOutcomeName(outcome));
        QueueFixture fixture;
        fixture.acceptJob(1, plain, queueIn("pool"));
        const auto starts = fixture.take<StartRun>();
        REQUIRE(starts.size() == 1);
        fixture.define({ queueIn("other") });
        CHECK(fixture.take<StartRun>().empty());
        fixture.scheduler.startAnswered(fixture.at, starts[0].target.worker, starts[0].run,
                                        outcome);
        if (outcome == OrderOutcome::Done)
            fixture.running[starts[0].target.name].push_back(starts[0].run);
        const auto again = fixture.run(8s);
        CHECK(again.size() == (outcome == OrderOutcome::Done ? 0 : 1));
        CHECK(allOn("o", again));
    }
}

TEST_CASE("a trial whose queue moves while its record is written begins in the new pool")
{
    QueueFixture fixture;
    fixture.scheduler.jobAccepted(fixture.at, suspect(1));
    const auto records = fixture.take<RecordExposures>();
    REQUIRE(records.size() == 1);
    fixture.define({ queueIn("other") });
    fixture.scheduler.exposuresRecorded(fixture.at, records[0].batch);
    const auto starts = fixture.run(2s);
    CHECK(starts.size() == 1);
    CHECK(allOn("o", starts));
}

TEST_CASE("a start that was decided and not carried out is taken back when its queue moves")
{
    QueueFixture fixture;
    fixture.scheduler.jobAccepted(fixture.at, suspect(1));
    const auto records = fixture.take<RecordExposures>();
    REQUIRE(records.size() == 1);
    fixture.scheduler.exposuresRecorded(fixture.at, records[0].batch);
    fixture.define({ queueIn("other") });
    const auto starts = fixture.run(2s);
    CHECK(starts.size() == 1);
    CHECK(allOn("o", starts));
}

TEST_CASE("a worker that is kept for a trial is let go when the queue moves")
{
    QueueFixture fixture;
    // Both workers have started something just now, so that the trial has to wait for one of them.
    fixture.acceptJob(2, { .count = 2, .size = { 1000, 100, 0 }, .maxPerWorker = 1 },
                      queueIn("pool"));
    REQUIRE(fixture.run(50ms).size() == 2);
    fixture.scheduler.jobAccepted(fixture.at, suspect(1));
    (void)fixture.take<StartRun>();
    const auto isKept = [&] {
        return std::ranges::any_of(fixture.scheduler.workers().all(), [&](const auto &it) {
            return it.second->life.pool == "pool" && fixture.at.now < it.second->reservedUntil;
        });
    };
    REQUIRE(isKept());
    // The task goes on waiting.
    fixture.define({ queueIn("third") });
    (void)fixture.run(50ms);
    CHECK_FALSE(isKept());
}

TEST_CASE("a worker that is kept for a large task is let go when the queue moves")
{
    QueueFixture fixture({ .lookAhead = true });
    fixture.acceptJob(2, { .count = 2, .size = { 30'000, 100, 0 }, .estimate = 3s },
                      queueIn("pool"));
    REQUIRE(fixture.run(100ms).size() == 2);
    fixture.acceptJob(1, { .count = 1, .size = { 20'000, 100, 0 }, .estimate = 1s },
                      queueIn("pool"));
    (void)fixture.run(1s);
    REQUIRE(fixture.scheduler.counts().gapsKept == 1);
    // Nothing fits in the new pool either.
    fixture.define({ queueIn("third") });
    (void)fixture.run(200ms);
    CHECK(fixture.scheduler.counts().gapsKept == 0);
}

TEST_CASE("waiting jobs go by the priority and the objective that their queue has now")
{
    // Their place in the order was computed once, when they began to wait.
    QueueFixture fixture;
    QueueSpec first = queueIn("pool");
    first.priority = 1;
    // No step gets late, which would give it another place.
    first.objective = 60s;
    QueueSpec second = first;
    second.name = "r";
    second.address = "host/r/";
    second.priority = 2;
    fixture.define({ first, second });
    fixture.fillPool();
    const StepSpec whole { .count = 1, .size = { 32'000, 100, 0 }, .estimate = 1s };
    fixture.acceptJob(1, whole, first);
    fixture.acceptJob(2, whole, second);
    CHECK(fixture.run(200ms).empty());
    second.priority = 0;
    second.stretch = 3;
    fixture.define({ first, second });
    CHECK(fixture.scheduler.jobs().find(JobId { 2 })->objective == 63s);
    fixture.end({ .target = { .name = { "w0" } }, .run = fixture.running[{ "w0" }].front() },
                RunEnd::Done);
    const auto starts = fixture.run(500ms);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == JobId { 2 });
}

TEST_CASE("a task that has failed as often as its queue now allows is not started again")
{
    const std::vector<std::uint64_t> failures { 1, 2 };
    QueueSpec fewer = queueIn("pool");
    fewer.maxAttempts = 2;
    SUBCASE("while it waits")
    {
        QueueFixture fixture;
        fixture.fillPool();
        fixture.scheduler.jobAccepted(fixture.at, failedBefore(1, failures));
        CHECK(fixture.run(500ms).empty());
        fixture.define({ fewer });
        CHECK(fixture.run(500ms).empty());
        CHECK(fixture.failed == std::vector<std::uint64_t> { 1 });
    }
    SUBCASE("its last run goes on")
    {
        QueueFixture fixture;
        fixture.scheduler.jobAccepted(fixture.at, failedBefore(1, failures));
        const auto starts = fixture.run(500ms);
        REQUIRE(starts.size() == 1);
        fixture.define({ fewer });
        CHECK(fixture.run(500ms).empty());
        CHECK(fixture.failed.empty());
        fixture.end(starts[0], RunEnd::Lapsed);
        CHECK(fixture.run(1s).empty());
        CHECK(fixture.failed == std::vector<std::uint64_t> { 1 });
    }
    SUBCASE("under a new leader, once it knows that no run is left")
    {
        QueueFixture fixture;
        std::vector<WorkerLife> workers;
        for (const auto &[id, worker] : fixture.scheduler.workers().all())
            workers.push_back(worker->life);
        const std::vector<JobView> inherited { failedBefore(1, failures) };
        fixture.scheduler.begin(fixture.at, { 2 }, { &fewer, 1 }, inherited, workers);
        CHECK(fixture.take<RecordEnds>().empty());
        CHECK(fixture.run(8s).empty());
        CHECK(fixture.failed == std::vector<std::uint64_t> { 1 });
    }
    SUBCASE("and is where more are allowed")
    {
        QueueFixture fixture;
        fixture.define({ fewer });
        fixture.fillPool();
        fixture.scheduler.jobAccepted(fixture.at, failedBefore(1, { 1 }));
        QueueSpec more = fewer;
        more.maxAttempts = 3;
        more.pool = "other";
        fixture.define({ more });
        const auto starts = fixture.run(500ms);
        REQUIRE(starts.size() == 1);
        fixture.end(starts[0], RunEnd::Failed);
        CHECK(fixture.run(1s).size() == 1);
        CHECK(fixture.failed.empty());
    }
}

TEST_CASE("waiting jobs follow the advice policy that their queue has now")
{
    // A step without permits is refused everywhere once the policy asks for them.
    QueueFixture fixture;
    fixture.fillPool();
    fixture.acceptJob(1, plain, queueIn("pool"));
    QueueSpec advised = queueIn("other");
    advised.advice = { .decision = 10ms, .perWorker = 10ms, .validity = 5s };
    fixture.define({ advised });
    CHECK(fixture.run(500ms).empty());
    REQUIRE(fixture.requests.size() == 1);
    // The policy goes and comes back while the request is in flight: its answer still counts.
    fixture.define({ queueIn("pool") });
    fixture.define({ advised });
    CHECK(fixture.run(200ms).empty());
    CHECK(fixture.requests.size() == 1);
    const std::vector<std::pair<WorkerName, std::string>> allowed { { { "o1" }, "ticket" } };
    SUBCASE("it has one")
    {
        fixture.scheduler.permitsAnswered(fixture.at, fixture.requests[0].step, &allowed, 3s);
        const auto starts = fixture.run(200ms);
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].permit == "ticket");
        CHECK(allOn("o1", starts));
    }
    SUBCASE("it has none any more")
    {
        fixture.define({ queueIn("other") });
        fixture.scheduler.permitsAnswered(fixture.at, fixture.requests[0].step, &allowed, {});
        const auto starts = fixture.run(200ms);
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].permit.empty());
    }
}

TEST_CASE(
        "workers that start what exceeds their capacity stay known once no queue names their pool")
{
    // The jobs of a queue that was removed still start there.
    QueueFixture fixture;
    QueueSpec queue = queueIn("other");
    queue.guardsCapacity = false;
    fixture.define({ queue });
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 }, .longRunning = true }, queue);
    REQUIRE(fixture.run(200ms).size() == 1);
    fixture.define({});
    (void)fixture.run(200ms);
    for (const auto &[id, worker] : fixture.scheduler.workers().all())
        CHECK(worker->guardsCapacity == (worker->life.pool != "other"));
}
