#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "acaciafork/decisions/jobs/Jobs.h"

using namespace acaciafork;
using namespace acaciafork::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp start = timestampFromMicroseconds(10'000'000);

JobView viewOf(std::uint64_t id, std::shared_ptr<const JobSpec> spec, std::uint32_t priority = 0)
{
    return { .id = { id },
             .queue = { .name = "q",
                        .pool = "pool",
                        .priority = priority,
                        .maxAttempts = 3,
                        .stretch = 2,
                        .objective = 1s },
             .spec = std::move(spec) };
}

std::shared_ptr<JobSpec> specOf(const StepSpec &step)
{
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back(step);
    return spec;
}

/// Adds a worker that may get work.
Worker &addWorker(WorkerTable *workers, const std::string &name, std::int64_t millicores = 32'000)
{
    Worker &worker = workers->add({ .name = { name },
                                    .born = { 1 },
                                    .pool = "pool",
                                    .address = name,
                                    .capacity = { millicores, 128'000, 0 } });
    worker.isRecorded = true;
    worker.isKnown = true;
    worker.lastHeardAt = start;
    worker.lease.observe(start, 1000);
    return worker;
}

/// Adds a job and assigns its image index, as the scheduler does.
Job *addJob(JobTable *jobs, TailInterference *interference, std::uint64_t id, const StepSpec &step)
{
    Job *job = jobs->add(start, 0, viewOf(id, specOf(step)), { .name = "q", .pool = "pool" });
    for (Step &it : jobs->open(start, job, 0)->steps)
        it.image = interference->intern(it.spec->image);
    return job;
}

/// Starts a run of a task of the job's only step on a worker, as the scheduler does.
void addRun(Job *job, std::uint32_t task, Worker *worker)
{
    Step &step = job->steps().front();
    TaskRef { .step = &step, .task = task }.ensureRecord().runs[0] = { .number = { 1 },
                                                                       .phase = RunPhase::Running,
                                                                       .worker = worker->id };
    worker->runs.push_back({ .task = { .step = &step, .task = task }, .slot = 0 });
    worker->reserve(step);
}

const StepSpec serving { .count = 8,
                         .size = { 6400, 13'000, 0 },
                         .longRunning = true,
                         .image = "serve-a",
                         .tailTarget = 50ms };
const StepSpec filling { .count = 8, .size = { 3500, 6400, 0 }, .image = "fill-a", .fills = true };

} // namespace

TEST_CASE("a lease expires only when it has ended on the slowest allowed clock")
{
    LeaseClock lease;
    lease.observe(start, 5000);
    CHECK(lease.grant(start, 4s) == 9000);
    // On a clock that is 2 % slow, 4 s take 4.082 s.
    CHECK(lease.expiresAt() > start + 4081ms);
    CHECK(lease.expiresAt() < start + 4200ms);

    // A reading from a delayed answer does not set the clock back.
    lease.observe(start + 2s, 5100);
    CHECK(lease.grant(start + 2s, 4s) == 11'000);
    lease.observe(start + 2s, 6990);
    CHECK(lease.grant(start + 2s, 4s) == 10'990);
}

TEST_CASE("a new leader waits for leases that an earlier leader may have granted")
{
    LeaseClock lease;
    lease.assumeGranted(start, 4s);
    CHECK_FALSE(lease.isKnown());
    CHECK(lease.expiresAt() > start + 4081ms);
}

TEST_CASE("in a burst, steps that can meet their objective come before late steps")
{
    // Guards against a burst of large jobs: those that can no longer meet their objective must not
    // make the small ones late too.
    JobTable jobs;
    const QueueSpec queue { .name = "q", .pool = "pool", .stretch = 2, .objective = 1s };
    StepSpec step { .count = 4, .size = { 1000, 100, 0 }, .estimate = 2s };
    Job *old = jobs.add(start, 0, viewOf(1, specOf(step)), queue);
    step.estimate = 200ms;
    Job *quick = jobs.add(start + 4s, 0, viewOf(2, specOf(step)), queue);
    step.estimate = 1s;
    Job *slack = jobs.add(start + 4s, 0, viewOf(3, specOf(step)), queue);

    StepOrder order;
    for (Job *it : { old, quick, slack })
        order.insert(start + 4s, &jobs.open(start + 4s, it, 0)->steps.front());
    std::vector<std::uint64_t> ids;
    for (const auto &[rank, it] : order.steps())
        ids.push_back(it->job->id.value);
    // The old job is due at 5 s and needs 2 s: late. The quick one has less slack than the third.
    CHECK(ids == std::vector<std::uint64_t> { 2, 3, 1 });

    // Later the other jobs become late too, and refresh() moves all to the last band.
    order.refresh(start + 30s);
    for (const auto &[rank, it] : order.steps())
        CHECK(rank.band == 2);
}

TEST_CASE("serving tasks prefer a worker of their image over an empty one")
{
    TailInterference interference;
    const Placer placer({}, &interference);
    WorkerTable workers;
    Worker &same = addWorker(&workers, "same");
    Worker &other = addWorker(&workers, "other");
    addWorker(&workers, "empty");
    JobTable jobs;
    StepSpec otherImage = serving;
    otherImage.image = "serve-b";
    Job *first = addJob(&jobs, &interference, 1, serving);
    Job *second = addJob(&jobs, &interference, 2, otherImage);
    Job *next = addJob(&jobs, &interference, 3, serving);
    addRun(first, 0, &same);
    addRun(second, 0, &other);
    addRun(second, 1, &other);

    const Step &step = next->steps().front();
    CHECK(placer.choose(start, workers, step, step.tasks[0])->life.name.value == "same");
    for (std::uint32_t it = 1; it < 5; ++it)
        addRun(first, it, &same);
    CHECK(placer.choose(start, workers, step, step.tasks[0])->life.name.value == "empty");
}

TEST_CASE("backfill tasks use unused capacity and avoid serving tasks that they slow down")
{
    TailInterference interference;
    const Placer placer({}, &interference);
    WorkerTable workers;
    Worker &worker = addWorker(&workers, "w");
    JobTable jobs;
    Job *service = addJob(&jobs, &interference, 1, serving);
    for (std::uint32_t it = 0; it < 5; ++it)
        addRun(service, it, &worker);
    Job *batch = addJob(&jobs, &interference, 2, filling);
    const Step &step = batch->steps().front();
    // All 32 cores are reserved, but serving tasks are assumed to use only 45 % of them.
    CHECK(placer.choose(start, workers, step, step.tasks[0]) == &worker);

    // Readings show that this image increases the tail latency.
    const BackfillNeighbour neighbour { .image = "fill-a", .share = 0.1 };
    for (int it = 0; it < 6; ++it)
        interference.observe("serve-a", 3.0, { &neighbour, 1 });
    CHECK(placer.choose(start, workers, step, step.tasks[0]) == nullptr);
}

TEST_CASE("backfill tasks use the average unused share of a fully reserved worker")
{
    // Guards against idle capacity: serving tasks had reserved 1,500 of 1,600 cores, and backfill
    // tasks waited while a third of the cores was idle.
    TailInterference interference;
    const Placer placer({}, &interference);
    JobTable jobs;
    WorkerTable workers;
    Worker &worker = addWorker(&workers, "w");
    Job *services = addJob(&jobs, &interference, 1, serving);
    for (std::uint32_t it = 0; it < 5; ++it)
        addRun(services, it, &worker);
    REQUIRE(worker.freeCapacity().millicores == 0);
    Job *fills = addJob(&jobs, &interference, 2, filling);
    const Step &step = fills->steps().front();
    std::uint32_t placed = 0;
    while (placed < step.spec->count
           && placer.choose(start, workers, step, step.tasks[placed]) != nullptr)
        addRun(fills, placed++, &worker);
    // 55 % of 32 cores are left, at 3.5 cores per task.
    CHECK(placed == 5);
}

TEST_CASE("an interfering pair is distinguished from harmless images on the same worker")
{
    // Measured behaviour: tail latencies of 0.3 to 0.8 of the target without interference, and far
    // over it beside one image only.
    TailInterference interference;
    RandomGenerator random(7);
    std::uniform_real_distribution<double> undisturbed(0.26, 0.8);
    for (int it = 0; it < 60; ++it) {
        const std::array both { BackfillNeighbour { "heavy", 0.08 },
                                BackfillNeighbour { "light", 0.08 } };
        const BackfillNeighbour light { "light", 0.12 };
        interference.observe("service", 1.4 + undisturbed(random), both);
        interference.observe("service", undisturbed(random), { &light, 1 });
    }
    CHECK(interference.expected("service", "heavy", 0.1) > 0.8);
    CHECK(interference.isHarmless("service", "light", 0.1));
    CHECK_FALSE(interference.isHarmless("service", "heavy", 0.1));
    CHECK_FALSE(interference.isHarmless("service", "unseen", 0.1));
}

TEST_CASE("the backfill share drops while a tail latency is in danger and recovers slowly")
{
    const BackfillThrottle throttle;
    const TailReading high { .image = "s", .tailMs = 60, .targetMs = 50 };
    const TailReading far { .image = "s", .tailMs = 200, .targetMs = 50 };
    const TailReading undisturbed { .image = "s", .tailMs = 20, .targetMs = 50 };
    const auto decide = [&](std::int64_t percent, Duration since, const TailReading &tail) {
        return throttle.decide(start, percent, start - since, { &tail, 1 });
    };
    CHECK(decide(100, 1s, high) == 50);
    CHECK(decide(100, 1s, far) == 25);
    CHECK(decide(25, 1s, far) == 0);
    CHECK(decide(100, 100ms, high) == 100);
    CHECK(decide(50, 1s, undisturbed) == 75);
    CHECK(decide(50, 500ms, undisturbed) == 50);
}
