#include <doctest/doctest.h>

#include "acaciafork/decisions/jobs/Jobs.h"
#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

TEST_CASE("a queue whose steps have not ended yet is trusted with its estimates")
{
    DurationModel model;
    CHECK(model.stretch("q") == 1);
    for (int it = 0; it < 7; ++it)
        model.observe("q", 1s, 3s);
    CHECK(model.stretch("q") == 1);
    model.observe("q", 1s, 3s);
    CHECK(model.stretch("q") == doctest::Approx(3));
    CHECK(model.stretch("other") == 1);
}

TEST_CASE("one step in 33 that takes seven times as long does not stretch the others")
{
    DurationModel model;
    for (int it = 0; it < 66; ++it)
        model.observe("q", 1s, it % 33 == 0 ? 7s : 1100ms);
    CHECK(model.stretch("q") == doctest::Approx(1.1));
}

TEST_CASE("estimates that are too long by a factor of two do not shorten the path")
{
    DurationModel model;
    for (int it = 0; it < 20; ++it)
        model.observe("q", 2s, 1s);
    CHECK(model.stretch("q") == 1);
}

TEST_CASE("the model forgets an earlier load after 64 steps")
{
    DurationModel model;
    for (int it = 0; it < 200; ++it)
        model.observe("q", 1s, 5s);
    for (int it = 0; it < 64; ++it)
        model.observe("q", 1s, 1200ms);
    CHECK(model.stretch("q") == doctest::Approx(1.2));
}

TEST_CASE("a job that has just arrived is not late, however long its queue's steps take")
{
    JobTable table;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .count = 2, .size = { 1000, 100, 0 }, .estimate = 2s });
    const QueueSpec queue { .name = "q", .pool = "pool", .stretch = 2, .objective = 1s };
    const Timestamp now = timestampFromMicroseconds(10'000'000);
    Job *job = table.add(now, 0, { .id = { 1 }, .queue = queue, .spec = spec }, queue);
    Step &step = table.open(now, job, 0)->steps[0];
    step.dueAt = now;
    // Objective of 5 s, path of 2 s: a standing queue used to start the job as late as after 3 s.
    CHECK(StepOrder().rankOf(now + 2900ms, step).band == 0);
    job->stretch = 1.5;
    CHECK(StepOrder().rankOf(now + 1900ms, step).band == 0);
    CHECK(StepOrder().rankOf(now + 2100ms, step).band == 1);
    job->stretch = 8;
    CHECK(StepOrder().rankOf(now + 800ms, step).band == 0);
    CHECK(StepOrder().rankOf(now + 1s, step).band == 1);
}

TEST_CASE("the later steps of a job that has begun go before jobs that have not")
{
    // Newcomers took the workers of each later step, so that every job stood still half done.
    JobTable table;
    auto spec = std::make_shared<JobSpec>();
    spec->steps.push_back({ .count = 2, .size = { 1000, 100, 0 }, .estimate = 2s });
    const QueueSpec queue { .name = "q", .pool = "pool", .stretch = 2, .objective = 1s };
    const Timestamp now = timestampFromMicroseconds(10'000'000);
    const auto add = [&](std::uint64_t id) {
        Job *job = table.add(now, 0, { .id = { id }, .queue = queue, .spec = spec }, queue);
        job->isFinishedFirst = true;
        job->stretch = 2;
        table.open(now, job, 0)->steps[0].dueAt = now;
        return job;
    };
    Job *begun = add(1);
    begun->hasBegun = true;
    Job *waiting = add(2);
    waiting->steps().front().dueAt = now - 500ms;
    CHECK(StepOrder().rankOf(now, begun->steps().front())
          < StepOrder().rankOf(now, waiting->steps().front()));
    // Its own lateness is judged by its estimate, since starting another job instead wins nothing.
    CHECK(StepOrder().rankOf(now + 2900ms, begun->steps().front()).band == 0);
    CHECK(StepOrder().rankOf(now + 2900ms, waiting->steps().front()).band == 1);
}

namespace {

/// Load of twice the capacity for 60 s: each second four jobs of four tasks that take 1.5 times as
/// long as estimated, on workers with room for 8 tasks.
/// @return jobs that ended within their objective
int completedInTime(bool learns)
{
    SchedulerFixture fixture;
    fixture.scheduler = JobScheduler({ .learnDurations = learns });
    fixture.scheduler.begin(fixture.at, { 1 }, {}, {}, {});
    fixture.report();
    const std::array names { WorkerName { "w0" }, WorkerName { "w1" } };
    fixture.scheduler.workersRecorded(fixture.at, names);
    (void)takeRecorded(&fixture.scheduler, fixture.at);

    struct Running
    {
        Timestamp endsAt;
        StartRun start;
    };
    const QueueSpec queue {
        .name = "q", .pool = "pool", .maxAttempts = 3, .stretch = 2, .objective = 1s
    };
    const StepSpec step { .count = 4, .size = { 8000, 100, 0 }, .estimate = 1s };
    std::vector<Running> running;
    std::map<WorkerId, std::uint64_t> lastEnd;
    std::uint64_t lastJob = 0;
    int inTime = 0;
    for (int tick = 0; tick < 600; ++tick) {
        if (tick % 5 == 0 && tick < 500) {
            fixture.acceptJob(++lastJob, step, queue);
            fixture.acceptJob(++lastJob, step, queue);
        }
        fixture.advance(100ms);
        fixture.report();
        std::map<WorkerId, std::vector<EndedRow>> ends;
        std::erase_if(running, [&](const Running &it) {
            if (it.endsAt > fixture.at.now)
                return false;
            const WorkerId id = it.start.target.worker;
            ends[id].push_back(
                    { .number = ++lastEnd[id], .run = it.start.run, .end = RunEnd::Done });
            return true;
        });
        for (const auto &[id, rows] : ends) {
            RenewalAnswer lists {
                .sentAt = fixture.at.now, .born = { 1 }, .clockMs = fixture.clockMs(), .ended = rows
            };
            for (const Running &it : running) {
                if (it.start.target.worker == id)
                    lists.running.push_back({ .run = it.start.run });
            }
            fixture.scheduler.renewalAnswered(fixture.at, id, true, OrderOutcome::Done, &lists);
        }
        for (const Command &it : takeRecorded(&fixture.scheduler, fixture.at)) {
            if (const auto *start = std::get_if<StartRun>(&it)) {
                fixture.scheduler.startAnswered(fixture.at, start->target.worker, start->run,
                                                OrderOutcome::Done);
                running.push_back({ .endsAt = fixture.at.now + 1500ms, .start = *start });
            }
            if (const auto *batch = std::get_if<RecordEnds>(&it))
                fixture.scheduler.endsRecorded(fixture.at, batch->batch);
            if (const auto *ended = std::get_if<JobEnded>(&it))
                inTime += ended->age <= ended->objective ? 1 : 0;
        }
    }
    return inTime;
}

} // namespace

TEST_CASE("in a standing queue with short estimates, the jobs that start end in time")
{
    // Every job started at the last moment that its estimate allowed, and ended too late.
    const int trusting = completedInTime(false);
    const int learning = completedInTime(true);
    CAPTURE(trusting);
    CAPTURE(learning);
    CHECK(learning >= 2 * trusting);
    CHECK(learning >= 40);
}
