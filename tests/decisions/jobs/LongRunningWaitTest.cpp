#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "acaciafork/decisions/jobs/Jobs.h"
#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

const QueueSpec shortQueue {
    .name = "short", .pool = "pool", .maxAttempts = 3, .stretch = 1.5, .objective = 300ms
};
const QueueSpec servingQueue {
    .name = "serving", .pool = "pool", .maxAttempts = 3, .stretch = 2.2, .objective = 2500ms
};

StepSpec shortStep(std::int64_t millicores, Duration estimate = 700ms)
{
    return { .count = 1, .size = { millicores, 1000, 0 }, .estimate = estimate };
}

StepSpec servingStep(std::int64_t millicores, std::uint32_t count = 1)
{
    return { .count = count,
             .size = { millicores, 1000, 0 },
             .estimate = 270ms,
             .longRunning = true,
             .image = "serving",
             .tailTarget = 50ms };
}

/// Two workers that carry out all orders, and short tasks that arrive faster than they can run.
struct BusyFixture : SchedulerFixture
{
    BusyFixture()
        : SchedulerFixture({}, { .lookAhead = true })
    { }

    /// Runs of short tasks end by themselves, apart from those of the given job.
    void turn()
    {
        at.now += 20ms;
        at.wallMicroseconds += 20'000;
        if (streams && at.now >= nextArrival) {
            nextArrival = at.now + 40ms;
            acceptJob(++lastStreamed, shortStep(4000), shortQueue);
        }
        for (auto it = ends.begin(); it != ends.end() && it->first <= at.now;) {
            endRun(it->second, RunEnd::Done);
            it = ends.erase(it);
        }
        for (auto it = permits.begin(); it != permits.end() && it->first <= at.now;) {
            scheduler.permitsAnswered(at, it->second.first, &it->second.second, 3s);
            it = permits.erase(it);
        }
        scheduler.tick(at);
        report();
        for (const Command &it : takeRecorded(&scheduler, at))
            carryOut(it);
    }

    void report()
    {
        ++sequence;
        for (std::size_t it = 0; it < born.size(); ++it) {
            scheduler.workerReported(at,
                                     { .life = { .name = { "w" + std::to_string(it) },
                                                 .born = { born.at(it) },
                                                 .pool = "pool",
                                                 .address = "w",
                                                 .capacity = { 32'000, 128'000, 0 } },
                                       .sequence = sequence,
                                       .clockMs = clockMs() });
        }
    }

    /// The worker starts anew, without its runs.
    void crash(std::size_t worker)
    {
        const std::string name = "w" + std::to_string(worker);
        ++born.at(worker);
        const auto isThere = [&](const auto &it) { return it.second.target.name.value == name; };
        for (const auto &[task, it] : running) {
            if (isThere(std::pair(0, it)))
                ended[it.target.worker.value].clear();
        }
        std::erase_if(running, isThere);
        std::erase_if(ends, isThere);
    }

    void turns(Duration length)
    {
        for (const Timestamp end = at.now + length; at.now < end;)
            turn();
    }

    void carryOut(const Command &command)
    {
        if (const auto *start = std::get_if<StartRun>(&command)) {
            scheduler.startAnswered(at, start->target.worker, start->run, OrderOutcome::Done);
            running[start->run.task] = *start;
            const std::uint64_t job = start->run.task.job.value;
            if (job >= firstStreamed)
                ends.emplace(at.now + 620ms + Duration(20ms) * (job % 9), *start);
        } else if (const auto *renewal = std::get_if<RenewWorkerLease>(&command)) {
            if (renewal->target.name.value == "w9") {
                scheduler.renewalAnswered(at, renewal->target.worker, renewal->isImmediate,
                                          OrderOutcome::Unanswered, nullptr);
                return;
            }
            RenewalAnswer lists { .sentAt = at.now,
                                  .born = renewal->target.born,
                                  .clockMs = clockMs() };
            for (const auto &[task, it] : running) {
                if (it.target.worker == renewal->target.worker)
                    lists.running.push_back({ .run = it.run });
            }
            for (const EndedRow &it : ended[renewal->target.worker.value]) {
                if (it.number > renewal->recordedEnds)
                    lists.ended.push_back(it);
            }
            scheduler.renewalAnswered(at, renewal->target.worker, renewal->isImmediate,
                                      OrderOutcome::Done, &lists);
        } else if (const auto *request = std::get_if<RequestPermits>(&command)) {
            std::vector<std::pair<WorkerName, std::string>> allowed;
            for (const WorkerName &it : request->workers)
                allowed.emplace_back(it, "permit");
            permits.emplace(at.now + 200ms, std::pair(request->step, allowed));
        } else if (const auto *exposures = std::get_if<RecordExposures>(&command)) {
            scheduler.exposuresRecorded(at, exposures->batch);
        } else if (const auto *workers = std::get_if<RecordWorkers>(&command)) {
            std::vector<WorkerName> names;
            for (const WorkerLife &it : workers->put)
                names.push_back(it.name);
            scheduler.workersRecorded(at, names);
        } else if (const auto *record = std::get_if<RecordEnds>(&command)) {
            scheduler.endsRecorded(at, record->batch);
        } else if (const auto *stop = std::get_if<StopRun>(&command)) {
            const auto it = running.find(stop->run.task);
            if (it != running.end() && it->second.run == stop->run)
                endRun(it->second, RunEnd::Stopped);
        }
    }

    void endRun(const StartRun &start, RunEnd end)
    {
        std::vector<EndedRow> &rows = ended[start.target.worker.value];
        rows.push_back({ .number = rows.size() + 1, .run = start.run, .end = end });
        running.erase(start.run.task);
    }

    [[nodiscard]] bool runs(const TaskKey &task) const { return running.contains(task); }

    void loseRun(const TaskKey &task)
    {
        REQUIRE(runs(task));
        endRun(StartRun(running.at(task)), RunEnd::Lapsed);
    }

    /// How long the task is without a run from now on, at most the given time.
    Duration waitOf(const TaskKey &task, Duration longest)
    {
        Duration waited {};
        for (; waited < longest && !runs(task); waited += 20ms)
            turn();
        return waited;
    }

    static TaskKey task(std::uint64_t job, std::uint32_t number = 0)
    {
        return { .job = { job }, .occurrence = 0, .step = 0, .task = number };
    }

    static constexpr std::uint64_t firstStreamed = 10'000;
    std::uint64_t lastStreamed = firstStreamed;
    bool streams = false;
    Timestamp nextArrival {};
    std::multimap<Timestamp, StartRun> ends;
    std::map<TaskKey, StartRun> running;
    std::array<std::uint64_t, 2> born { 1, 1 };
    std::multimap<Timestamp, std::pair<TaskKey, std::vector<std::pair<WorkerName, std::string>>>>
            permits;
    std::map<std::uint64_t, std::vector<EndedRow>> ended;
};

} // namespace

TEST_CASE("the busy workers of the tests let a lost serving task in")
{
    // Makes sure that the others measure something.
    BusyFixture fixture;
    fixture.acceptJob(1, servingStep(13'000), servingQueue);
    fixture.turns(1s);
    fixture.streams = true;
    fixture.turns(6s);
    fixture.loseRun(BusyFixture::task(1));
    const Duration waited = fixture.waitOf(BusyFixture::task(1), 20s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}

TEST_CASE("a lost serving task gets a kept worker beside others that fit nowhere")
{
    // Guards against plans for kept workers that go to the same steps each time.
    BusyFixture fixture;
    for (std::uint64_t id = 1; id <= 2; ++id) {
        fixture.acceptJob(id, servingStep(17'000), servingQueue);
        fixture.turn();
    }
    fixture.acceptJob(3, servingStep(13'000), servingQueue);
    fixture.turn();
    REQUIRE(fixture.runs(BusyFixture::task(3)));
    for (std::uint64_t id = 4; id < 12; ++id) {
        fixture.acceptJob(id, servingStep(20'000), servingQueue);
    }
    fixture.streams = true;
    fixture.turns(7s);
    fixture.loseRun(BusyFixture::task(3));
    const Duration waited = fixture.waitOf(BusyFixture::task(3), 20s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}

TEST_CASE("suspected serving tasks do not wait one after another")
{
    BusyFixture fixture;
    constexpr std::uint64_t jobs = 10;
    for (std::uint64_t id = 1; id <= jobs; ++id)
        fixture.acceptJob(id, servingStep(3000), servingQueue);
    fixture.turns(400ms);
    for (std::uint64_t id = 1; id <= jobs; ++id)
        REQUIRE(fixture.runs(BusyFixture::task(id)));
    const std::string &name = fixture.running.at(BusyFixture::task(1)).target.name.value;
    fixture.streams = true;
    fixture.turns(1500ms);
    fixture.crash(name == "w0" ? 0 : 1);
    CHECK(!fixture.runs(BusyFixture::task(1)));
    Duration longest {};
    for (; longest < 40s; longest += 20ms) {
        fixture.turn();
        std::size_t back = 0;
        for (std::uint64_t id = 1; id <= jobs; ++id)
            back += fixture.runs(BusyFixture::task(id)) ? 1 : 0;
        if (back == jobs)
            break;
    }
    CHECK(longest <= 6s);
}

TEST_CASE("a lost backfill task that lasts does not wait for as long as short tasks arrive")
{
    BusyFixture fixture;
    StepSpec step = servingStep(13'000);
    step.fills = true;
    step.tailTarget = {};
    fixture.acceptJob(1, step, servingQueue);
    fixture.turns(1s);
    fixture.streams = true;
    fixture.turns(6s);
    fixture.loseRun(BusyFixture::task(1));
    const Duration waited = fixture.waitOf(BusyFixture::task(1), 10s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}

TEST_CASE("a lost serving task comes before those of its step that have had no run")
{
    BusyFixture fixture;
    fixture.acceptJob(1, servingStep(20'000, 4), servingQueue);
    fixture.turns(1s);
    REQUIRE(fixture.runs(BusyFixture::task(1, 0)));
    REQUIRE(fixture.runs(BusyFixture::task(1, 1)));
    fixture.loseRun(BusyFixture::task(1, 0));
    const Duration waited = fixture.waitOf(BusyFixture::task(1, 0), 10s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}

TEST_CASE("a serving task that lost its run before the leader changed does not wait for long")
{
    // Guards against a loss that only the leader before knew of. The worker that is gone holds up
    // the take-over for 4 s.
    BusyFixture fixture;
    const std::array lives { WorkerLife { .name = { "w0" },
                                          .born = { 1 },
                                          .pool = "pool",
                                          .address = "w",
                                          .capacity = { 32'000, 128'000, 0 } },
                             WorkerLife { .name = { "w1" },
                                          .born = { 1 },
                                          .pool = "pool",
                                          .address = "w",
                                          .capacity = { 32'000, 128'000, 0 } },
                             WorkerLife { .name = { "w9" },
                                          .born = { 1 },
                                          .pool = "pool",
                                          .address = "x",
                                          .capacity = { 32'000, 128'000, 0 } } };
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(servingStep(13'000));
    // The earlier leader had started it on a worker that is gone since then.
    const CrashExposure exposure { .run = { 1 }, .worker = { "w9" }, .born = { 1 } };
    const std::array jobs { JobView { .id = { 1 },
                                      .queue = servingQueue,
                                      .spec = spec,
                                      .exposures = { { BusyFixture::task(1), { exposure } } } } };
    fixture.streams = true;
    fixture.turns(3s);
    fixture.running.clear();
    fixture.ends.clear();
    fixture.ended.clear();
    fixture.scheduler.begin(fixture.at, { 2 }, {}, jobs, lives);
    const Duration waited = fixture.waitOf(BusyFixture::task(1), 10s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 5s);
}

TEST_CASE("a short job without any run starts where room is kept for a long-running task")
{
    // Guards against jobs that are lost to their caller beside free room.
    // The first run takes longer than estimated, and no other worker has room.
    BusyFixture fixture;
    fixture.acceptJob(1, shortStep(20'000), shortQueue);
    fixture.turn();
    fixture.acceptJob(2, servingStep(30'000), servingQueue);
    fixture.turn();
    fixture.acceptJob(3, servingStep(30'000), servingQueue);
    fixture.turns(5200ms);
    REQUIRE(fixture.runs(BusyFixture::task(1)));
    REQUIRE(fixture.runs(BusyFixture::task(2)));
    fixture.acceptJob(4, shortStep(4000, 8s), shortQueue);
    const Duration waited = fixture.waitOf(BusyFixture::task(4), 20s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}

TEST_CASE("a lost serving task doesn't wait behind large ones that have had no run")
{
    // Guards against workers that are kept for new long-running work alone.
    BusyFixture fixture;
    fixture.acceptJob(1, shortStep(18'000), shortQueue);
    fixture.turn();
    fixture.acceptJob(2, servingStep(16'000), servingQueue);
    fixture.turn();
    fixture.acceptJob(3, servingStep(13'000), servingQueue);
    fixture.turn();
    REQUIRE(fixture.runs(BusyFixture::task(3)));
    fixture.acceptJob(4, servingStep(30'000), servingQueue);
    fixture.turns(5000ms);
    fixture.streams = true;
    fixture.turns(1s);
    fixture.loseRun(BusyFixture::task(3));
    const Duration waited = fixture.waitOf(BusyFixture::task(3), 10s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}

TEST_CASE("a lost serving task of an advised queue doesn't wait for as long as short ones arrive"
          * doctest::should_fail())
{
    BusyFixture fixture;
    QueueSpec advised = servingQueue;
    advised.name = "advised";
    advised.advice = AdvicePolicy { .decision = 100ms, .perWorker = 10ms, .validity = 3s };
    fixture.acceptJob(1, servingStep(13'000), advised);
    fixture.turns(1s);
    fixture.streams = true;
    fixture.turns(6s);
    fixture.loseRun(BusyFixture::task(1));
    const Duration waited = fixture.waitOf(BusyFixture::task(1), 10s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}

TEST_CASE("a lost serving gang does not wait for as long as short tasks arrive"
          * doctest::should_fail())
{
    BusyFixture fixture;
    StepSpec step = servingStep(13'000, 2);
    step.gang = true;
    fixture.acceptJob(1, step, servingQueue);
    fixture.turns(1s);
    REQUIRE(fixture.runs(BusyFixture::task(1, 1)));
    fixture.streams = true;
    fixture.turns(6s);
    fixture.loseRun(BusyFixture::task(1, 0));
    fixture.turns(100ms);
    const Duration waited = fixture.waitOf(BusyFixture::task(1, 0), 10s);
    CAPTURE(waited / 1ms);
    CHECK(waited <= 3s);
}
