#include <doctest/doctest.h>

#include "tests/decisions/batch/Scenario.h"

using namespace acaciafork;
using namespace acaciafork::batch;
using namespace acaciafork::batch::fakes;
using namespace std::chrono_literals;

namespace {

/// Submits `count` jobs named prefix0, prefix1, ...
void submitJobs(Session *session, const std::string &prefix, int count, const TestJob &prototype)
{
    for (int i = 0; i < count; ++i) {
        TestJob job = prototype;
        job.task = prefix + std::to_string(i);
        submitJob(session, job);
    }
}

/// Number of jobs with that prefix that have a lease.
int leasedCount(const Session &session, const std::string &prefix, int count)
{
    int leased = 0;
    for (int i = 0; i < count; ++i) {
        const TaskRecord *task = session.state.task({ prefix + std::to_string(i) });
        leased += task != nullptr && task->leased ? 1 : 0;
    }
    return leased;
}

} // namespace

TEST_CASE("grants are reduced for a family that uses far less than it declares")
{
    Session::Options options;
    options.usageEvery = 1;
    Session session(options);
    addRack(&session, "r1", "old", "a", 1);
    session.run(2s);
    const TestJob overdeclared {
        .declared = { .millicores = 16'000, .memoryMb = 60'000, .slots = 1 },
        .used = { .millicores = 3'000, .memoryMb = 9'000, .slots = 1 },
        .work = 20s
    };
    submitJobs(&session, "early", 12, overdeclared);
    session.run(5s);
    CHECK(leasedCount(session, "early", 12) == 2);
    session.run(5min);
    REQUIRE(session.state.finished == 12);
    submitJobs(&session, "late", 12, overdeclared);
    session.run(5s);
    CHECK(leasedCount(session, "late", 12) == 8);
    CHECK(session.world.audit.violations() == 0);
}

TEST_CASE("a job over its learned memory grant gets its declared size without a counted failure")
{
    Session::Options options;
    options.usageEvery = 1;
    Session session(options);
    addRack(&session, "r1", "old", "a", 1);
    session.run(2s);
    const TestJob small { .declared = { .millicores = 4'000, .memoryMb = 40'000, .slots = 1 },
                          .used = { .millicores = 4'000, .memoryMb = 2'000, .slots = 1 },
                          .work = 10s };
    submitJobs(&session, "small", 12, small);
    session.run(3min);
    REQUIRE(session.state.finished == 12);
    TestJob large = small;
    large.task = "large";
    large.used.memoryMb = 39'000;
    submitJob(&session, large);
    session.run(1min);
    CHECK(session.state.finished == 13);
    CHECK(session.scheduler().counters().failedAttempts == 1);
    CHECK(session.state.failed == 0);
}

TEST_CASE("usage reports that arrive after the eviction of their tasks are harmless")
{
    Session::Options options;
    options.usageEvery = 1;
    options.usageLag = 30s;
    Session session(options);
    addRack(&session, "r1", "old", "a", 2);
    session.run(2s);
    submitJobs(&session, "job", 8, { .work = 10min });
    session.run(1min);
    session.putRack({ .rack = { "r1" },
                      .building = { "old" },
                      .zone = { "a" },
                      .state = RackState::Draining });
    addRack(&session, "r2", "old", "a", 2);
    session.run(20min);
    CHECK(session.state.finished == 8);
}

TEST_CASE("a worker on which every job fails is quarantined, and the jobs finish elsewhere")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 4);
    session.workers[0]->setFailsEverything(true);
    session.run(2s);
    submitJobs(&session, "job", 60, { .work = 30s });
    session.run(10min);
    CHECK(session.state.finished == 60);
    CHECK(session.state.failed == 0);
    CHECK(session.scheduler().counters().quarantines == 1);

    // After the worker recovers, a probe ends its quarantine.
    session.workers[0]->setFailsEverything(false);
    submitJobs(&session, "later", 400, { .work = 60s });
    session.run(2h);
    CHECK(session.state.finished == 460);
    CHECK(session.scheduler().counters().quarantines == 1);
    submitJobs(&session, "last", 32, { .work = 60s });
    session.run(20s);
    CHECK(session.workers[0]->runningCount() > 0);
}

TEST_CASE("a job that fails on every worker fails permanently, and no worker is blamed")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 4);
    session.run(2s);
    submitJobs(&session, "bad", 30, { .family = "bad", .work = 60s, .failsAfter = 5s });
    submitJobs(&session, "good", 60, { .family = "good", .work = 20s });
    session.run(30min);
    CHECK(session.state.finished == 60);
    CHECK(session.state.failed == 30);
    CHECK(session.scheduler().counters().failedAttempts <= 30 * 4);
}

TEST_CASE("jobs that can never run are reported as unschedulable with the reason")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 1);
    addRack(&session, "r2", "old", "a", 1,
            { .millicores = 8'000, .memoryMb = 16'000, .accelerators = 2, .slots = 8 });
    session.putTeam({ .team = { "poor" }, .quota = { .millicores = 2'000 } });
    session.run(2s);
    const auto submitSize = [&](const char *name, const char *team, Resources size) {
        submitJob(&session, { .task = name, .team = team, .declared = size });
    };
    submitSize("cores", "t", { .millicores = 33'000, .memoryMb = 10 });
    submitSize("memory", "t", { .millicores = 100, .memoryMb = 126'000 });
    submitSize("accelerators", "t", { .millicores = 100, .memoryMb = 10, .accelerators = 3 });
    submitSize("shape", "t", { .millicores = 16'000, .memoryMb = 10, .accelerators = 1 });
    submitSize("quota", "poor", { .millicores = 3'000, .memoryMb = 10 });
    submitSize("nothing", "t", {});
    session.run(30s);
    const auto &refused = session.state.unschedulable;
    REQUIRE(refused.size() == 6);
    CHECK(refused.at({ "cores" }) == UnschedulableReason::TooManyCores);
    CHECK(refused.at({ "memory" }) == UnschedulableReason::TooMuchMemory);
    CHECK(refused.at({ "accelerators" }) == UnschedulableReason::TooManyAccelerators);
    CHECK(refused.at({ "shape" }) == UnschedulableReason::NoSuchShape);
    CHECK(refused.at({ "quota" }) == UnschedulableReason::OverTeamQuota);
    CHECK(refused.at({ "nothing" }) == UnschedulableReason::InvalidSize);
    for (const auto &[task, reason] : refused)
        CHECK(!describe(reason).empty());
}

TEST_CASE("urgent jobs start within 6.3 s at full load, even if checkpoints are slow")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 4);
    session.run(2s);
    submitJobs(&session, "batch", 40, { .work = 2h, .checkpointTime = 60s });
    session.run(5min);
    std::map<std::string, Timestamp> started;
    session.onCommand = [&](const Command &it) {
        if (const auto *start = std::get_if<StartTask>(&it))
            started.emplace(start->task.value, session.now());
    };
    const Timestamp submittedAt = session.now();
    submitJobs(&session, "urgent", 6, { .work = 1min, .urgent = true });
    session.run(6300ms);
    for (int i = 0; i < 6; ++i) {
        REQUIRE(started.contains("urgent" + std::to_string(i)));
        CHECK(started["urgent" + std::to_string(i)] - submittedAt < 6300ms);
    }
    CHECK(session.scheduler().counters().preemptions == 6);
    session.run(6h);
    CHECK(session.state.finished == 46);
    CHECK(session.world.audit.violations() == 0);
}

TEST_CASE("10,000 cancellations at once cause a bounded number of commands per tick")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 4);
    session.run(2s);
    submitJobs(&session, "job", 10'000, { .work = 1h });
    session.run(10s);
    std::map<Timestamp, int> commands;
    session.onCommand = [&](const Command &) { ++commands[session.now()]; };
    for (int i = 0; i < 10'000; ++i)
        session.cancel({ "job" + std::to_string(i) });
    session.run(30s);
    CHECK(session.state.cancelled == 10'000);
    CHECK(session.scheduler().summary().tasks == 0);
    const TickSettings bounds;
    for (const auto &[at, count] : commands)
        CHECK(count <= bounds.cancellationsPerTick + 2 * 32);
}

TEST_CASE("teams share by dominant resource and weight, and stay within their quotas")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 6);
    session.putTeam({ .team = { "heavy" }, .weight = 2 });
    session.putTeam({ .team = { "bound" }, .quota = { .millicores = 12'000 } });
    session.run(2s);
    submitJobs(&session, "a", 100, { .team = "heavy", .work = 1h });
    submitJobs(&session, "b", 100, { .team = "light", .work = 1h });
    submitJobs(&session, "c", 100, { .team = "bound", .work = 1h });
    session.run(10s);
    CHECK(leasedCount(session, "c", 100) == 3);
    CHECK(leasedCount(session, "a", 100) == 30);
    CHECK(leasedCount(session, "b", 100) == 15);
}

TEST_CASE("a job as large as a worker is not starved by a stream of small ones")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 2);
    session.run(2s);
    int next = 0;
    session.every(5s, [&] {
        submitJobs(&session, "small" + std::to_string(next++) + "-", 2, { .work = 60s });
    });
    session.run(1min);
    submitJob(&session,
              { .task = "large",
                .declared = { .millicores = 32'000, .memoryMb = 100'000, .slots = 8 },
                .work = 1min });
    session.run(20min);
    CHECK(session.state.task({ "large" }) == nullptr);
}

TEST_CASE("an evicted straggler is not placed on a worker with a service")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 1);
    session.run(2s);
    submitJob(&session, { .task = "straggler", .work = 5h, .declaredRunTime = 10min });
    session.run(1h);

    // The worker that hosts the service would be the tighter fit.
    addRack(&session, "r2", "old", "b", 1,
            { .millicores = 16'000, .memoryMb = 60'000, .slots = 8 });
    session.run(2s);
    putService(&session, "loopdraw", 1);
    session.run(2s);
    session.putRack({ .rack = { "r1" },
                      .building = { "old" },
                      .zone = { "a" },
                      .state = RackState::Draining });
    addRack(&session, "r3", "old", "c", 1);
    session.run(1min);
    REQUIRE(session.state.task({ "straggler" }) != nullptr);
    CHECK(session.state.task({ "straggler" })->lease.worker.value == "r3-w0");
}

TEST_CASE("accelerators are kept for the work that needs them")
{
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 1,
            { .millicores = 32'000, .memoryMb = 125'000, .accelerators = 4, .slots = 16 });
    addRack(&session, "r2", "old", "a", 1);
    session.run(2s);
    submitJobs(&session, "plain", 40, { .work = 1h });
    session.run(5s);
    submitJobs(&session, "model", 4,
               { .declared = { .millicores = 4'000, .memoryMb = 15'000, .accelerators = 1 },
                 .work = 1h });
    session.run(5s);
    CHECK(leasedCount(session, "model", 4) == 4);
}

TEST_CASE("jobs that failed on all workers run once the workers have recovered"
          * doctest::should_fail())
{
    // Only a job that never failed may probe a quarantined worker. When all workers are quarantined
    // and each waiting job has failed once, none is probed.
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 2);
    for (const auto &it : session.workers)
        it->setFailsEverything(true);
    session.run(2s);
    submitJobs(&session, "job", 8, { .work = 30s });
    session.run(5min);
    for (const auto &it : session.workers)
        it->setFailsEverything(false);
    session.run(12h);
    CHECK(session.state.finished + session.state.failed == 8);
}

namespace {

/// Two workers that are quarantined after failures of 16 jobs and have recovered since.
void quarantineBoth(Session *session)
{
    addRack(session, "r1", "old", "a", 2);
    for (const auto &it : session->workers)
        it->setFailsEverything(true);
    session->run(2s);
    submitJobs(session, "job", 16, { .work = 30s });
    session->run(5min);
    REQUIRE(session->scheduler().counters().quarantines == 2);
    for (const auto &it : session->workers)
        it->setFailsEverything(false);
}

} // namespace

TEST_CASE("a job that failed before does not keep those behind it from probing workers"
          * doctest::should_fail())
{
    // The first job of a size may not probe, and its size then counts as unplaceable.
    Session session(Session::Options {});
    quarantineBoth(&session);
    submitJobs(&session, "later", 20, { .work = 30s });
    session.run(12h);
    CHECK(session.state.finished >= 20);
}

TEST_CASE("a service that waits for a worker does not keep jobs from probing workers"
          * doctest::should_fail())
{
    // A size that no worker has room for now also ends the search for a quarantined worker to
    // probe.
    Session session(Session::Options {});
    quarantineBoth(&session);
    for (int it = 0; it < 16; ++it)
        session.cancel({ "job" + std::to_string(it) });
    session.run(1min);
    putService(&session, "service", 1,
               { .millicores = 1000, .memoryMb = 1000, .accelerators = 0, .slots = 1 });
    submitJobs(&session, "later", 20, { .work = 30s });
    session.run(12h);
    CHECK(session.state.finished >= 20);
}

TEST_CASE("jobs that never failed probe quarantined workers")
{
    Session session(Session::Options {});
    quarantineBoth(&session);
    for (int it = 0; it < 16; ++it)
        session.cancel({ "job" + std::to_string(it) });
    session.run(1min);
    submitJobs(&session, "later", 20, { .work = 30s });
    session.run(12h);
    CHECK(session.state.finished >= 20);
}

TEST_CASE("a job that crashes every worker that starts it is given up" * doctest::should_fail())
{
    // A lease that ends since its worker restarted counts as no failure, so the job is leased
    // again.
    Session session(Session::Options {});
    addRack(&session, "r1", "old", "a", 4);
    session.run(2s);
    submitJob(&session, { .task = "deadly", .work = 1h });
    int crashes = 0;
    session.every(200ms, [&] {
        for (std::size_t it = 0; it < session.workers.size(); ++it) {
            if (session.workers[it]->runningCount() == 0)
                continue;
            session.restartWorker(it);
            ++crashes;
        }
    });
    session.run(10min);
    CHECK(session.state.failed == 1);
    CHECK(crashes <= 5);
}
