#include <algorithm>
#include <array>
#include <map>

#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

namespace acaciafork::jobs {
namespace {

const QueueSpec queueA { .name = "a", .pool = "pool", .maxAttempts = 3 };
const QueueSpec queueB { .name = "b", .pool = "pool", .maxAttempts = 3 };

/// Job of one step of which all occurrences have been due for a minute.
std::shared_ptr<const JobSpec> overdue(const Moment &at, std::uint32_t times, std::uint32_t count)
{
    auto spec = std::make_shared<JobSpec>();
    // It needs more than any worker has, so its tasks never start.
    spec->steps.push_back({ .count = count, .size = { 1'000'000, 100, 0 } });
    spec->isScheduled = true;
    spec->schedule = { .firstUs = at.wallMicroseconds - 60'000'000,
                       .interval = Duration(1),
                       .times = times };
    return spec;
}

std::size_t openOf(const JobScheduler &scheduler, std::uint64_t id)
{
    const Job *job = scheduler.jobs().find(JobId { id });
    return job == nullptr ? 0 : job->open.size();
}

} // namespace

TEST_CASE("a backlog that doesn't drain leaves memory to other jobs and queues")
{
    // Guards against jobs that never run since occurrences of others that can't run take all.
    SchedulerFixture fixture({}, { .memory = { .budget = 200'000 } });
    JobScheduler &scheduler = fixture.scheduler;
    scheduler.jobAccepted(fixture.at,
                          { .id = { 1 }, .queue = queueA, .spec = overdue(fixture.at, 5000, 4) });
    fixture.advance(1s);
    const std::size_t first = openOf(scheduler, 1);
    CHECK(first > 10);
    for (std::uint64_t id = 2; id <= 4; ++id)
        scheduler.jobAccepted(fixture.at,
                              { .id = { id },
                                .queue = id == 2 ? queueA : queueB,
                                .spec = overdue(fixture.at, 5000, 4) });
    for (int it = 0; it < 100; ++it)
        fixture.advance(10ms);
    CHECK(openOf(scheduler, 1) == first);
    for (std::uint64_t id = 2; id <= 4; ++id)
        CHECK(openOf(scheduler, id) >= 1);
    const JobMemory &memory = scheduler.jobs().memory();
    CHECK(memory.budgeted() <= memory.budget());
    // A job that runs immediately is not kept out either.
    CHECK(memory.mayAccept("c", 1000, 2000));
}

TEST_CASE("a job that is rejected finds memory after the time that its caller was told")
{
    // Guards against callers that wait for a minute for what is released within seconds, and
    // against those that come back in vain.
    constexpr std::size_t mb = std::size_t { 1 } << 20U;
    constexpr std::size_t perSecond = 100'000;
    JobMemory memory({ .budget = 8 * mb });
    Timestamp now {};
    const auto pass = [&](Duration time) {
        for (Duration passed {}; passed < time; passed += 100ms) {
            now += 100ms;
            memory.advance(now);
            memory.closed("a", perSecond / 10);
        }
    };
    for (const std::size_t cost : { std::size_t { 3000 }, mb / 2, mb }) {
        memory.opened("a", 4 * mb + 40 * perSecond - memory.occurrences());
        pass(20s);
        REQUIRE(memory.mayAccept("b", 1000, 2000));
        const std::size_t missing = memory.shortage("a", 1000, cost);
        CHECK(missing > 0);
        const Duration wait = memory.drainTime(missing);
        CHECK(wait < std::chrono::milliseconds(missing * 1100 / perSecond) + 1100ms);
        pass(wait + 200ms);
        CHECK(memory.mayAccept("a", 1000, cost));
    }
}

TEST_CASE("no job without an open occurrence waits while another one has two turns")
{
    // Guards against a job that waits for as long as another one has occurrences that are due.
    SchedulerFixture fixture({}, { .memory = { .budget = 12'000 } });
    JobScheduler &scheduler = fixture.scheduler;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        auto spec = std::make_shared<JobSpec>(*overdue(fixture.at, 1000, 1));
        spec->steps.front().size = { 1000, 100, 0 };
        scheduler.jobAccepted(fixture.at, { .id = { id }, .queue = queueA, .spec = spec });
    }
    const auto turns = [&] {
        std::array<std::uint32_t, 3> n {};
        for (std::uint64_t id = 1; id <= 3; ++id)
            n.at(id - 1) = scheduler.jobs().find(JobId { id })->nextOccurrence;
        return n;
    };
    /// Of jobs without an open occurrence: the turns of all when the last one was closed.
    std::map<std::uint64_t, std::array<std::uint32_t, 3>> turnsBefore;
    std::map<std::uint64_t, std::uint32_t> ended;
    for (int it = 0; it < 200; ++it) {
        fixture.advance(10ms);
        fixture.report();
        for (const Command &command : takeRecorded(&scheduler, fixture.at)) {
            if (const auto *start = std::get_if<StartRun>(&command))
                scheduler.startAnswered(fixture.at, start->target.worker, start->run,
                                        OrderOutcome::Done);
            if (const auto *record = std::get_if<RecordEnds>(&command))
                scheduler.endsRecorded(fixture.at, record->batch);
            const auto *renewal = std::get_if<RenewWorkerLease>(&command);
            if (renewal == nullptr)
                continue;
            const Worker *worker = scheduler.workers().find(renewal->target.worker);
            RenewalAnswer lists { .sentAt = fixture.at.now,
                                  .born = renewal->target.born,
                                  .clockMs = fixture.clockMs() };
            // All its runs have just ended.
            std::uint64_t number = worker->seenEnds;
            for (const RunRef &run : worker->runs) {
                lists.ended.push_back(
                        { .number = ++number, .run = run.key(), .end = RunEnd::Done });
                ++ended[run.task.key().job.value];
            }
            scheduler.renewalAnswered(fixture.at, renewal->target.worker, renewal->isImmediate,
                                      OrderOutcome::Done, &lists);
        }
        for (std::uint64_t id = 1; id <= 3; ++id) {
            if (openOf(scheduler, id) > 0) {
                turnsBefore.erase(id);
                continue;
            }
            const auto [known, isNew] = turnsBefore.try_emplace(id, turns());
            for (std::uint64_t other = 1; other <= 3; ++other)
                CHECK(turns()[other - 1] - known->second[other - 1] < 2);
        }
    }
    for (std::uint64_t id = 1; id <= 3; ++id)
        CHECK(ended[id] > 10);
}

TEST_CASE("a run that a worker lists of an occurrence that isn't open is adopted")
{
    // Guards against runs that are stopped as unknown since the clock of the leader that has
    // started them was ahead.
    SchedulerFixture fixture;
    JobScheduler &scheduler = fixture.scheduler;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .count = 3, .size = { 1000, 100, 0 } });
    spec->isScheduled = true;
    spec->schedule = { .firstUs = fixture.at.wallMicroseconds + 1'000'000,
                       .interval = std::chrono::hours(1),
                       .times = 1000 };
    scheduler.jobAccepted(fixture.at, { .id = { 7 }, .queue = queueA, .spec = spec });
    const TaskKey running { .job = { 7 }, .occurrence = 0, .step = 0, .task = 1 };
    const Worker *worker = scheduler.workers().find(WorkerName { "w0" });
    const RenewalAnswer lists { .sentAt = fixture.at.now,
                                .born = { 1 },
                                .clockMs = fixture.clockMs(),
                                .running = { { .run = { .task = running, .run = { 1 } } } } };
    scheduler.renewalAnswered(fixture.at, worker->id, false, OrderOutcome::Done, &lists);
    CHECK(openOf(scheduler, 7) == 1);
    CHECK(fixture.take<StopRun>().empty());
    CHECK(worker->runs.size() == 1);

    // Its other tasks start when it is due, and no sooner.
    fixture.advance(900ms);
    CHECK(fixture.take<StartRun>().empty());
    fixture.advance(200ms);
    fixture.report();
    std::vector<std::uint32_t> started;
    for (const StartRun &it : fixture.take<StartRun>())
        started.push_back(it.run.task.task);
    std::ranges::sort(started);
    CHECK(started == std::vector<std::uint32_t> { 0, 2 });

    // Runs of tasks that the job doesn't have open nothing.
    for (const TaskKey &odd :
         { TaskKey { .job = { 7 }, .occurrence = 1000 },
           TaskKey { .job = { 7 }, .occurrence = 1, .step = 1 },
           TaskKey { .job = { 7 }, .occurrence = 1, .task = 3 }, TaskKey { .job = { 8 } } }) {
        const RenewalAnswer other { .sentAt = fixture.at.now,
                                    .born = { 1 },
                                    .clockMs = fixture.clockMs(),
                                    .running = { { .run = { .task = running, .run = { 1 } } },
                                                 { .run = { .task = odd, .run = { 1 } } } } };
        scheduler.renewalAnswered(fixture.at, worker->id, false, OrderOutcome::Done, &other);
        CHECK(openOf(scheduler, 7) == 1);
    }
}

TEST_CASE("memory of an occurrence that has ended counts until its ends are recorded")
{
    // Guards against a next leader that opens both an occurrence whose end was lost with the
    // leader before and the one that was opened in its place.
    SchedulerFixture fixture;
    JobScheduler &scheduler = fixture.scheduler;
    fixture.acceptJob(7, { .count = 1, .size = { 1000, 100, 0 } });
    const std::vector<StartRun> starts = fixture.take<StartRun>();
    REQUIRE(starts.size() == 1);
    const std::size_t before = scheduler.jobs().memory().budgeted();
    CHECK(before > 0);
    scheduler.startAnswered(fixture.at, starts[0].target.worker, starts[0].run, OrderOutcome::Done);
    const RenewalAnswer lists {
        .sentAt = fixture.at.now,
        .born = { 1 },
        .clockMs = fixture.clockMs(),
        .ended = { { .number = 1, .run = starts[0].run, .end = RunEnd::Done } }
    };
    scheduler.renewalAnswered(fixture.at, starts[0].target.worker, false, OrderOutcome::Done,
                              &lists);
    const std::vector<RecordEnds> records = fixture.take<RecordEnds>();
    REQUIRE(records.size() == 1);
    CHECK(scheduler.jobs().all().empty());
    CHECK(scheduler.jobs().memory().budgeted() == before);
    scheduler.endsRecorded(fixture.at, records[0].batch);
    CHECK(scheduler.jobs().memory().budgeted() == 0);
}

TEST_CASE("the time after which a rejected client may come back follows the release of memory")
{
    // Guards against clients that come back each second while nothing can be released.
    JobMemory memory({ .budget = 1'000'000 });
    Timestamp now = timestampFromMicroseconds(10'000'000);
    memory.advance(now);
    CHECK(memory.drainTime(1000) == 60s);
    for (int it = 0; it < 30; ++it) {
        memory.opened("a", 10'000);
        memory.closed("a", 10'000);
        memory.advance(now += 1s);
    }
    CHECK(memory.drainTime(1000) == 1s);
    CHECK(memory.drainTime(50'000) >= 5s);
    CHECK(memory.drainTime(50'000) < 6s);
    CHECK(memory.drainTime(10'000'000) == 60s);
}

TEST_CASE("submissions that are being recorded and ended jobs that are kept count as memory")
{
    // Guards against a burst of submissions that are all checked against the same free memory.
    JobMemory memory({ .budget = 100'000 });
    std::size_t accepted = 0;
    while (memory.mayAccept("a", 1000, 9000)) {
        memory.submissionBegan("a", 10'000);
        ++accepted;
    }
    CHECK(accepted == 5);
    CHECK(memory.mayAccept("b", 1000, 9000));
    for (; accepted > 0; --accepted)
        memory.submissionEnded("a", 10'000);
    memory.setRetained(49'500);
    CHECK_FALSE(memory.mayAccept("b", 1000, 0));
    memory.setRetained(0);
    CHECK(memory.mayAccept("b", 1000, 0));
}

} // namespace acaciafork::jobs
