#include <map>

#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

TEST_CASE("steps that wait for full workers leave the advisor time for a step that fits")
{
    // Steps in front had permits for full workers renewed over and over, and it never asked.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 2, .size = { 30'000, 100, 0 }, .maxPerWorker = 1 });
    const auto large = fixture.take<StartRun>();
    REQUIRE(large.size() == 2);
    for (const StartRun &it : large)
        fixture.scheduler.startAnswered(fixture.at, it.target.worker, it.run, OrderOutcome::Done);

    QueueSpec queue { .name = "advised",
                      .pool = "pool",
                      .priority = 0,
                      .maxAttempts = 3,
                      .advice =
                              AdvicePolicy { .decision = 80ms, .perWorker = 4ms, .validity = 2s } };
    constexpr std::uint64_t stepsInFront = 30;
    for (std::uint64_t it = 0; it < stepsInFront; ++it)
        fixture.acceptJob(10 + it, { .count = 1, .size = { 8000, 100, 0 } }, queue);
    queue.priority = 1;
    fixture.acceptJob(100, { .count = 1, .size = { 1000, 100, 0 } }, queue);

    // The advisor allows all workers, and answers one request after the other.
    std::multimap<Timestamp, RequestPermits> requests;
    Timestamp advisorFreeAt;
    std::vector<StartRun> starts;
    for (int tick = 1; tick <= 6000 && starts.empty(); ++tick) {
        fixture.advance(10ms);
        while (!requests.empty() && requests.begin()->first <= fixture.at.now) {
            const auto node = requests.extract(requests.begin());
            std::vector<std::pair<WorkerName, std::string>> allowed;
            for (const WorkerName &it : node.mapped().workers)
                allowed.emplace_back(it, "permit");
            fixture.scheduler.permitsAnswered(fixture.at, node.mapped().step, &allowed, {});
        }
        for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *request = std::get_if<RequestPermits>(&it)) {
                const auto count = static_cast<std::int64_t>(request->workers.size());
                advisorFreeAt = std::max(advisorFreeAt, fixture.at.now) + queue.advice->decision
                        + queue.advice->perWorker * count;
                requests.emplace(advisorFreeAt, *request);
            }
            if (const auto *start = std::get_if<StartRun>(&it))
                starts.push_back(*start);
            if (const auto *renewal = std::get_if<RenewWorkerLease>(&it)) {
                RenewalAnswer answer { .sentAt = fixture.at.now, .born = { 1 } };
                answer.clockMs = 1000 + tick * 10;
                for (const StartRun &run : large) {
                    if (run.target.worker == renewal->target.worker)
                        answer.running.push_back({ .run = run.run });
                }
                fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                                  renewal->isImmediate, OrderOutcome::Done,
                                                  &answer);
            }
        }
    }
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == JobId { 100 });
}

TEST_CASE("an end that needs no record is acknowledged while other ends are being recorded")
{
    // Any later batch counted as its own, and nothing is due at a worker without runs after that.
    SchedulerFixture fixture;
    const auto startOne = [&](std::uint64_t job) {
        fixture.acceptJob(job, { .count = 1, .size = { 1000, 100, 0 } });
        const auto starts = fixture.take<StartRun>();
        REQUIRE(starts.size() == 1);
        fixture.scheduler.startAnswered(fixture.at, starts[0].target.worker, starts[0].run,
                                        OrderOutcome::Done);
        return starts[0];
    };
    const auto listEnd = [&](const StartRun &run, std::uint64_t number, RunEnd end) {
        const RenewalAnswer answer { .sentAt = fixture.at.now,
                                     .born = { 1 },
                                     .clockMs = 1000,
                                     .ended = { { number, run.run, end, {} } } };
        fixture.scheduler.renewalAnswered(fixture.at, run.target.worker, false, OrderOutcome::Done,
                                          &answer);
    };
    const auto recordBatch = [&] {
        fixture.advance(20ms);
        const auto records = fixture.take<RecordEnds>();
        REQUIRE(records.size() == 1);
        return records[0].batch;
    };
    // The second task goes to the emptier worker.
    const StartRun first = startOne(1);
    const StartRun second = startOne(2);
    REQUIRE(first.target.worker != second.target.worker);
    listEnd(first, 1, RunEnd::Done);
    fixture.scheduler.endsRecorded(fixture.at, recordBatch());

    // The first worker's second run ends by a stop, while an end of the other one is recorded.
    const StartRun stopped = startOne(3);
    REQUIRE(stopped.target.worker == first.target.worker);
    fixture.scheduler.jobCancelled(fixture.at, { 3 });
    listEnd(second, 1, RunEnd::Done);
    const std::uint64_t open = recordBatch();
    listEnd(stopped, 2, RunEnd::Stopped);
    fixture.scheduler.endsRecorded(fixture.at, open);

    std::uint64_t acknowledged = 0;
    for (int tick = 1; tick <= 300; ++tick) {
        fixture.advance(100ms);
        fixture.scheduler.workerReported(fixture.at,
                                         { .life = { .name = first.target.name,
                                                     .born = { 1 },
                                                     .pool = "pool",
                                                     .address = "w",
                                                     .capacity = { 32'000, 128'000, 0 } },
                                           .sequence = static_cast<std::uint64_t>(tick + 1),
                                           .clockMs = 1000 + tick * 100 });
        for (const RenewWorkerLease &it : fixture.take<RenewWorkerLease>()) {
            const bool isFirst = it.target.worker == first.target.worker;
            acknowledged = std::max(acknowledged, isFirst ? it.recordedEnds : 0);
            const RenewalAnswer answer { .sentAt = fixture.at.now,
                                         .born = { 1 },
                                         .clockMs = 1000 + tick * 100 };
            fixture.scheduler.renewalAnswered(fixture.at, it.target.worker, it.isImmediate,
                                              OrderOutcome::Done, &answer);
        }
    }
    CHECK(acknowledged == 2);
}

TEST_CASE("an end is not acknowledged before the record that stands for it is committed")
{
    // One end stands for a gang: those that the other members' workers list need no other record.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 2, .size = { 1000, 100, 0 }, .gang = true, .maxPerWorker = 1 });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 2);
    for (const StartRun &it : starts) {
        fixture.scheduler.startAnswered(fixture.at, it.target.worker, it.run, OrderOutcome::Done);
        const RenewalAnswer answer { .sentAt = fixture.at.now,
                                     .born = { 1 },
                                     .clockMs = 1000,
                                     .ended = { { 1, it.run, RunEnd::Done, {} } } };
        fixture.scheduler.renewalAnswered(fixture.at, it.target.worker, false, OrderOutcome::Done,
                                          &answer);
    }
    std::uint64_t batch = 0;
    std::size_t acknowledged = 0;
    for (int tick = 1; tick <= 40; ++tick) {
        fixture.advance(100ms);
        if (tick == 20) {
            CHECK(acknowledged == 0);
            fixture.scheduler.endsRecorded(fixture.at, batch);
        }
        for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *record = std::get_if<RecordEnds>(&it))
                batch = record->batch;
            if (const auto *renewal = std::get_if<RenewWorkerLease>(&it))
                acknowledged += renewal->recordedEnds == 1 ? 1 : 0;
        }
    }
    CHECK(acknowledged == 2);
}

TEST_CASE("tasks of a worker that comes back with an earlier time of birth run again")
{
    // Its answers counted neither as answers nor as missing, and its lost runs as under lease.
    SchedulerFixture fixture;
    std::uint64_t sequence = 1;
    // Runs 20 s in which only the first worker reports, and answers with what it has started.
    const auto runAs = [&](Incarnation born) {
        std::vector<StartRun> starts;
        for (int tick = 0; tick < 200; ++tick) {
            fixture.advance(100ms);
            const std::int64_t clockMs = fixture.at.now.time_since_epoch() / 1ms;
            fixture.scheduler.workerReported(fixture.at,
                                             { .life = { .name = { "w0" },
                                                         .born = born,
                                                         .pool = "pool",
                                                         .address = "w",
                                                         .capacity = { 32'000, 128'000, 0 } },
                                               .sequence = ++sequence,
                                               .clockMs = clockMs });
            for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
                if (const auto *record = std::get_if<RecordWorkers>(&it)) {
                    for (const WorkerLife &life : record->put)
                        fixture.scheduler.workersRecorded(fixture.at, { &life.name, 1 });
                }
                if (const auto *start = std::get_if<StartRun>(&it)) {
                    starts.push_back(*start);
                    fixture.scheduler.startAnswered(fixture.at, start->target.worker, start->run,
                                                    OrderOutcome::Done);
                }
                const auto *renewal = std::get_if<RenewWorkerLease>(&it);
                if (renewal == nullptr || renewal->target.name != WorkerName { "w0" })
                    continue;
                RenewalAnswer answer { .sentAt = fixture.at.now, .born = born, .clockMs = clockMs };
                for (const StartRun &run : starts)
                    answer.running.push_back({ .run = run.run, .percent = 100 });
                fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                                  renewal->isImmediate, OrderOutcome::Done,
                                                  &answer);
            }
        }
        return starts.size();
    };
    CHECK(runAs({ 3 }) == 0);
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 }, .longRunning = true });
    CHECK(runAs({ 3 }) == 1);
    CHECK(runAs({ 2 }) == 1);
}

TEST_CASE("a renewal confirms no ends while the one before it has no answer")
{
    // The worker may have started again since: it would forget ends of its new life unread.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 } });
    const StartRun first = fixture.take<StartRun>().at(0);
    const WorkerId worker = first.target.worker;
    fixture.scheduler.startAnswered(fixture.at, worker, first.run, OrderOutcome::Done);
    fixture.acceptJob(2, { .count = 2, .size = { 1000, 100, 0 }, .maxPerWorker = 1 });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 2);
    const StartRun &second = starts[starts[0].target.worker == worker ? 0 : 1];
    fixture.scheduler.startAnswered(fixture.at, worker, second.run, OrderOutcome::Done);
    fixture.advance(10ms);
    REQUIRE_FALSE(fixture.take<RenewWorkerLease>().empty());
    const RenewalAnswer answer { .sentAt = fixture.at.now,
                                 .born = { 1 },
                                 .clockMs = 1000,
                                 .running = { { .run = second.run } },
                                 .ended = { { 1, first.run, RunEnd::Done, {} } } };
    fixture.scheduler.renewalAnswered(fixture.at, worker, false, OrderOutcome::Done, &answer);
    fixture.advance(20ms);
    const auto records = fixture.take<RecordEnds>();
    REQUIRE(records.size() == 1);
    fixture.scheduler.endsRecorded(fixture.at, records[0].batch);

    const auto confirmedBy = [&](bool isImmediate) {
        std::vector<std::uint64_t> confirmed;
        for (const RenewWorkerLease &it : fixture.take<RenewWorkerLease>()) {
            if (it.target.worker == worker && it.isImmediate == isImmediate)
                confirmed.push_back(it.recordedEnds);
        }
        return confirmed;
    };
    REQUIRE(confirmedBy(false) == std::vector<std::uint64_t> { 1 });
    // Its answer does not come, and a stop has its worker asked once more.
    fixture.scheduler.jobCancelled(fixture.at, { 2 });
    fixture.scheduler.stopAnswered(fixture.at, worker, second.run, OrderOutcome::Done);
    fixture.advance(500ms);
    CHECK(confirmedBy(true) == std::vector<std::uint64_t> { 0 });
}

TEST_CASE("a list that was made before a run began does not end it, though it comes after one with "
          "it")
{
    // The run was released and its task started a second time.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 } });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    const WorkerId worker = starts[0].target.worker;
    const Timestamp waitingSentAt = fixture.at.now - 200ms;
    const Timestamp immediateSentAt = fixture.at.now - 2ms;
    fixture.advance(5ms);
    RenewalAnswer with { .sentAt = waitingSentAt, .born = { 1 }, .clockMs = fixture.clockMs() };
    with.running.push_back({ .run = starts[0].run });
    fixture.scheduler.renewalAnswered(fixture.at, worker, false, OrderOutcome::Done, &with);
    fixture.advance(5ms);
    RenewalAnswer without { .sentAt = immediateSentAt,
                            .born = { 1 },
                            .clockMs = fixture.clockMs() };
    fixture.scheduler.renewalAnswered(fixture.at, worker, true, OrderOutcome::Done, &without);
    CHECK(fixture.take<StartRun>().empty());
    CHECK(fixture.scheduler.workers().find(worker)->runs.size() == 1);

    // One that was asked for after the run was shown does end it.
    fixture.advance(5ms);
    without.sentAt = fixture.at.now;
    fixture.scheduler.renewalAnswered(fixture.at, worker, true, OrderOutcome::Done, &without);
    CHECK(fixture.take<StartRun>().size() == 1);
}

TEST_CASE("a worker that does not guard its capacity gets no start that its last report may be too "
          "old for")
{
    // Reports may count for 4.1 s when the start arrives: the 3 s of contact and an interval of 1.1
    // s.
    SchedulerFixture fixture;
    const QueueSpec queue {
        .name = "q", .pool = "pool", .maxAttempts = 3, .guardsCapacity = false
    };
    fixture.scheduler.queuesChanged(fixture.at, std::array { queue });
    fixture.report();
    fixture.acceptJob(1, { .count = 2, .size = { 1000, 100, 0 } }, queue);
    CHECK(fixture.take<StartRun>().size() == 2);
    // Both workers go on answering renewals.
    const Timestamp reportedAt = fixture.at.now;
    while (fixture.at.now - reportedAt < 3600ms) {
        fixture.advance(100ms);
        for (const RenewWorkerLease &it : fixture.take<RenewWorkerLease>())
            fixture.answer(it, {});
    }
    fixture.acceptJob(2, { .count = 1, .size = { 1000, 100, 0 } }, queue);
    CHECK(fixture.take<StartRun>().empty());
    fixture.report();
    fixture.advance(100ms);
    CHECK(fixture.take<StartRun>().size() == 1);
}

namespace {

/// Worker that gets the first task of a new job while `w0`, the first of two equal workers, is
/// cold.
/// @param[in] age how long ago `w0` reported
std::string workerBesideCold(const JobSchedulerSettings &settings, const StepSpec &step,
                             Duration coldFor, Duration age = {})
{
    SchedulerFixture fixture({}, settings);
    fixture.coldFor[0] = coldFor;
    fixture.report();
    fixture.advance(age);
    (void)fixture.take<StartRun>();
    fixture.acceptJob(1, step);
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    return starts[0].target.name.value;
}

} // namespace

TEST_CASE("a task goes to a warm worker, unless it is backfill or the cold one has warmed up")
{
    // After an evacuation, the workers of the zone are the emptiest ones and the slowest ones.
    JobSchedulerSettings settings;
    settings.placer.prefersWarmWorkers = true;
    const StepSpec task { .size = { 1000, 100, 0 }, .estimate = 1s };
    StepSpec backfill = task;
    backfill.fills = true;
    StepSpec serving = task;
    serving.longRunning = true;
    serving.tailTarget = 50ms;
    CHECK(workerBesideCold(settings, task, 0ms) == "w0");
    CHECK(workerBesideCold(settings, task, 5s) == "w1");
    CHECK(workerBesideCold(settings, serving, 5s) == "w1");
    CHECK(workerBesideCold(settings, backfill, 5s) == "w0");
    CHECK(workerBesideCold(settings, task, 500ms, 400ms) == "w1");
    CHECK(workerBesideCold(settings, task, 500ms, 500ms) == "w0");
    // A later report without the field ends it.
    SchedulerFixture fixture({}, settings);
    fixture.coldFor[0] = 5s;
    fixture.report();
    fixture.coldFor = {};
    fixture.report();
    fixture.acceptJob(1, task);
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.name.value == "w0");
    // Without the setting, placement does not depend on what workers say of themselves.
    CHECK(workerBesideCold({}, task, 5s) == "w0");
}

TEST_CASE("the penalty of a cold worker grows with the share of the task that falls into the time")
{
    // A penalty that ignored the estimate would keep tasks of a minute off workers that are cold
    // for a second.
    const TailInterference interference;
    const Placer placer({ .prefersWarmWorkers = true }, &interference);
    WorkerTable workers;
    Worker &worker = workers.add({ .name = { "w" }, .capacity = { 16'000, 64'000, 0 } });
    const Timestamp now = timestampFromMicroseconds(10'000'000);
    JobTable jobs;
    const auto penalty = [&](std::uint64_t id, Duration estimate, Duration coldFor) {
        auto spec = std::make_shared<JobSpec>();
        spec->steps.push_back({ .count = 1, .size = { 1000, 100, 0 }, .estimate = estimate });
        Job *job = jobs.add(now, 0, { .id = { id }, .queue = {}, .spec = spec }, {});
        const Step &step = jobs.open(now, job, 0)->steps.front();
        worker.warmAt = Worker::distantPast();
        const double warm = placer.score(now, worker, step);
        worker.warmAt = now + coldFor;
        return warm - placer.score(now, worker, step);
    };
    const double whole = penalty(1, 1s, 1s);
    CHECK(whole > 1);
    CHECK(penalty(2, 1s, 60s) == doctest::Approx(whole));
    CHECK(penalty(3, 60s, 6s) == doctest::Approx(whole / 10));
    CHECK(penalty(4, 60s, 0s) == 0);
    // A task without an estimate counts as one that is over before the worker is warm.
    CHECK(penalty(5, 0s, 1s) == doctest::Approx(whole));
}

TEST_CASE("a worker that listed a stray run twice gets work again once the run is gone")
{
    // Its lists were requested once more, too early for the second one; idle workers get no
    // renewals.
    SchedulerFixture fixture;
    const std::array queues { QueueSpec {
            .name = "q", .pool = "pool", .maxAttempts = 3, .guardsCapacity = false } };
    fixture.scheduler.queuesChanged(fixture.at, queues);
    fixture.advance(10ms);
    fixture.report();
    const RunKey stray { .task = { .job = { 99 } }, .run = { 1 } };
    for (const Duration age : { 250ms, 0ms }) {
        for (const auto &[id, worker] : fixture.scheduler.workers().all()) {
            const RenewalAnswer lists { .sentAt = fixture.at.now,
                                        .born = { 1 },
                                        .clockMs = fixture.clockMs(),
                                        .running = { { .run = stray } } };
            fixture.scheduler.renewalAnswered(fixture.at, id, true, OrderOutcome::Done, &lists);
        }
        fixture.advance(age);
    }
    (void)fixture.take<StopRun>();
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 } }, queues[0]);
    CHECK(fixture.answerRenewals(10s).size() == 1);
}

TEST_CASE("a run that may be in an unreadable row is not started elsewhere while it may be at work")
{
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 2, .size = { 30'000, 100, 0 }, .maxPerWorker = 1 });
    const auto first = fixture.take<StartRun>();
    REQUIRE(first.size() == 2);
    for (const StartRun &it : first)
        fixture.scheduler.startAnswered(fixture.at, it.target.worker, it.run, OrderOutcome::Done);

    // Each worker lists one row, which can't be read on one of them.
    const WorkerId odd = first[0].target.worker;
    Timestamp stoppedAt = Timestamp::max();
    std::vector<StartRun> again;
    for (int it = 0; it < 300 && again.empty(); ++it) {
        fixture.advance(10ms);
        if (it % 50 == 0)
            fixture.report();
        for (const Command &command : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *start = std::get_if<StartRun>(&command))
                again.push_back(*start);
            if (const auto *stop = std::get_if<StopRun>(&command)) {
                CHECK(stop->run == first[0].run);
                CHECK(stop->reason == "unlisted");
                stoppedAt = std::min(stoppedAt, fixture.at.now);
                fixture.scheduler.stopAnswered(fixture.at, odd, stop->run, OrderOutcome::Done);
            }
            const auto *renewal = std::get_if<RenewWorkerLease>(&command);
            if (renewal == nullptr)
                continue;
            RenewalAnswer lists { .sentAt = fixture.at.now,
                                  .born = { 1 },
                                  .clockMs = fixture.clockMs() };
            if (renewal->target.worker == odd)
                lists.unreadableRows = 1;
            else
                lists.running.push_back({ .run = first[1].run });
            fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                              renewal->isImmediate, OrderOutcome::Done, &lists);
        }
    }
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.task == first[0].run.task);
    const Duration stopTimeout = JobSchedulerSettings {}.stopTimeout;
    CHECK(fixture.at.now - stoppedAt >= stopTimeout);
}

TEST_CASE("an unreadable row holds up a take-over no longer than the lease of an earlier leader")
{
    SchedulerFixture fixture;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .count = 1, .size = { 1000, 100, 0 }, .longRunning = true });
    const JobView job { .id = { 1 },
                        .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
                        .spec = spec };
    const WorkerLife life = fixture.scheduler.workers().find(WorkerName { "w0" })->life;
    fixture.scheduler.begin(fixture.at, { 2 }, {}, std::array { job }, std::array { life });
    const Timestamp beganAt = fixture.at.now;
    const Duration lease = JobSchedulerSettings {}.lease;

    // The task may be at work in that row until the lease has ended, if that is not renewed.
    std::vector<StartRun> starts;
    while (starts.empty() && fixture.at.now - beganAt < 2 * lease) {
        fixture.advance(10ms);
        fixture.report();
        for (const Command &command : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *start = std::get_if<StartRun>(&command))
                starts.push_back(*start);
            const auto *renewal = std::get_if<RenewWorkerLease>(&command);
            if (renewal == nullptr)
                continue;
            CHECK(renewal->leaseEndMs == 0);
            const RenewalAnswer lists { .sentAt = fixture.at.now,
                                        .born = { 1 },
                                        .clockMs = fixture.clockMs(),
                                        .unreadableRows = 1 };
            fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                              renewal->isImmediate, OrderOutcome::Done, &lists);
        }
    }
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.name.value == "w0");
    CHECK(fixture.at.now - beganAt >= lease);
    CHECK(fixture.at.now - beganAt < lease + 1s);
}

namespace {

/// Worker that starts again each second without answering, while the other one answers.
struct RestartingWorker
{
    SchedulerFixture *fixture;
    WorkerName name;
    std::uint64_t born = 1;

    /// @return starts of the run's task meanwhile
    std::vector<StartRun> restartFor(Duration length, const TaskKey &task)
    {
        std::vector<StartRun> starts;
        for (Duration passed {}; passed < length; passed += 100ms) {
            if (passed % 1s == Duration {}) {
                WorkerLife life = fixture->scheduler.workers().find(name)->life;
                life.born = { ++born };
                fixture->scheduler.workerReported(fixture->at,
                                                  { .life = life, .sequence = 1, .clockMs = 10 });
            }
            for (const Command &it : takeRecorded(&fixture->scheduler, fixture->at)) {
                const auto *start = std::get_if<StartRun>(&it);
                if (start != nullptr && start->run.task == task)
                    starts.push_back(*start);
                const auto *renewal = std::get_if<RenewWorkerLease>(&it);
                if (renewal != nullptr && renewal->target.name == name)
                    fixture->scheduler.renewalAnswered(fixture->at, renewal->target.worker,
                                                       renewal->isImmediate,
                                                       OrderOutcome::Unanswered, nullptr);
                else if (renewal != nullptr)
                    fixture->answer(*renewal, {});
            }
            fixture->advance(100ms);
            fixture->report();
        }
        return starts;
    }
};

} // namespace

TEST_CASE("a listed run is over when its worker restarts without answering")
{
    // It held its task for the longest delay of an order and the longest lease.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 }, .longRunning = true });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    const StartRun &start = starts[0];
    fixture.scheduler.startAnswered(fixture.at, start.target.worker, start.run, OrderOutcome::Done);
    // Longer than any trial lasts.
    for (int tick = 0; tick < 60; ++tick) {
        fixture.advance(100ms);
        fixture.report();
        for (const RenewWorkerLease &it : fixture.take<RenewWorkerLease>()) {
            RenewalAnswer lists { .sentAt = fixture.at.now,
                                  .born = { 1 },
                                  .clockMs = fixture.clockMs() };
            if (it.target.worker == start.target.worker)
                lists.running.push_back({ .run = start.run });
            fixture.scheduler.renewalAnswered(fixture.at, it.target.worker, it.isImmediate,
                                              OrderOutcome::Done, &lists);
        }
    }
    RestartingWorker worker { .fixture = &fixture, .name = start.target.name };
    const auto again = worker.restartFor(300ms, start.run.task);
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.worker != start.target.worker);
    CHECK(again[0].run.run > start.run.run);
}

TEST_CASE("a run that was answered and not listed is held when its worker restarts")
{
    // The life that answered may have been the next one already, and the run may be at work there.
    SchedulerFixture fixture;
    fixture.acceptJob(1, { .count = 1, .size = { 1000, 100, 0 } });
    const auto starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    const StartRun &start = starts[0];
    fixture.scheduler.startAnswered(fixture.at, start.target.worker, start.run, OrderOutcome::Done);

    const JobSchedulerSettings settings;
    const Duration longest = settings.maxOrderDelay + settings.maxLease;
    RestartingWorker worker { .fixture = &fixture, .name = start.target.name };
    CHECK(worker.restartFor(longest, start.run.task).empty());
    const auto *held = fixture.scheduler.workers().find(start.target.worker);
    CHECK(held->runs.size() == 1);
    worker.restartFor(500ms, start.run.task);
    CHECK(held->runs.empty());
}

TEST_CASE("inherited steps start although a worker restarts again and again without answering")
{
    // Each restart prolonged the take-over by a lease.
    SchedulerFixture fixture;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .count = 1, .size = { 1000, 100, 0 } });
    const CrashExposure exposure { .run = { 1 }, .worker = { "w1" }, .born = { 1 } };
    const std::array jobs { JobView { .id = { 1 },
                                      .queue = { .name = "q", .pool = "pool", .maxAttempts = 3 },
                                      .spec = spec,
                                      .exposures = { { { .job = { 1 } }, { exposure } } } } };
    std::array<WorkerReport, 2> reports;
    std::vector<WorkerLife> recorded;
    for (std::size_t it = 0; it < reports.size(); ++it) {
        reports.at(it).life = { .name = { "w" + std::to_string(it) },
                                .born = { 1 },
                                .pool = "pool",
                                .address = "w" + std::to_string(it),
                                .capacity = { 32'000, 128'000, 0 } };
        recorded.push_back(reports.at(it).life);
    }
    const JobSchedulerSettings settings;
    fixture.scheduler.begin(fixture.at, { 2 }, {}, jobs, recorded);
    const Timestamp beganAt = fixture.at.now;
    std::vector<StartRun> starts;
    for (int tick = 1; tick <= 600 && starts.empty(); ++tick) {
        fixture.advance(100ms);
        if (tick % 10 == 0)
            ++reports[1].life.born.value;
        for (WorkerReport &it : reports) {
            ++it.sequence;
            it.clockMs = fixture.clockMs();
            fixture.scheduler.workerReported(fixture.at, it);
        }
        for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *start = std::get_if<StartRun>(&it))
                starts.push_back(*start);
            if (const auto *renewal = std::get_if<RenewWorkerLease>(&it)) {
                if (renewal->target.name.value == "w0")
                    fixture.answer(*renewal, {});
                else
                    fixture.scheduler.renewalAnswered(fixture.at, renewal->target.worker,
                                                      renewal->isImmediate,
                                                      OrderOutcome::Unanswered, nullptr);
            }
        }
    }
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.name.value == "w0");
    // Until then the other worker may carry out what an earlier leader ordered.
    const Duration waited = fixture.at.now - beganAt;
    const Duration longest = settings.maxOrderDelay + settings.maxLease;
    CHECK(waited >= longest);
    CHECK(waited <= longest + 500ms);
}
