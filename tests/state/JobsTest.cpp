#include <malloc.h>

#include <doctest/doctest.h>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

namespace {

wire::Command submission(std::uint64_t id, std::uint32_t tasks)
{
    wire::Command command;
    wire::SubmitJob *job = command.mutable_submit_job();
    job->set_job(id);
    job->mutable_queue()->set_name("q");
    job->mutable_spec()->set_payload("p");
    job->mutable_spec()->add_steps()->set_count(tasks);
    return command;
}

wire::Command ended(std::uint64_t id, std::uint32_t task, bool failed, std::uint64_t run)
{
    wire::Command command;
    wire::TaskEnd *end = command.mutable_record_task_ends()->add_ends();
    end->set_job(id);
    end->set_task(task);
    end->set_failed(failed);
    end->set_run(run);
    return command;
}

wire::Command exposure(std::uint64_t run, wire::CrashExposureChange change, std::uint32_t blame = 0)
{
    wire::Command command;
    wire::TaskCrashExposure *row = command.mutable_record_crash_exposures()->add_exposures();
    row->set_job(5);
    row->set_task(1);
    row->set_change(change);
    row->mutable_exposure()->set_run(run);
    row->mutable_exposure()->set_worker("w1");
    row->mutable_exposure()->set_crashed(change == wire::CRASH_EXPOSURE_CHANGE_CRASHED);
    row->mutable_exposure()->set_blame(blame);
    return command;
}

wire::Command queueProposal(std::uint64_t version, const std::string &source)
{
    wire::Command command;
    wire::QueueConfig *config = command.mutable_propose_queues()->mutable_config();
    config->set_version(version);
    config->set_source(source);
    return command;
}

} // namespace

TEST_CASE("resubmitting a job has no effect, and a job completes when all its tasks are done")
{
    Driver driver;
    CHECK(driver.apply(submission(5, 2)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(submission(5, 9)).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    driver.apply(ended(5, 0, false, 1));
    driver.apply(ended(5, 0, false, 1));
    CHECK(driver.machine.jobs().stateOf(5) == wire::JOB_STATE_ACTIVE);
    driver.apply(ended(5, 1, false, 1));
    CHECK(driver.machine.jobs().stateOf(5) == wire::JOB_STATE_COMPLETED);
    CHECK(driver.apply(submission(6, 0)).outcome() == wire::OUTCOME_INVALID);
}

TEST_CASE("a failed run counts once, even if it is recorded several times")
{
    Driver driver;
    driver.apply(submission(5, 1));
    for (const std::uint64_t run : { 1, 1, 100'001, 1 })
        driver.apply(ended(5, 0, true, run));
    CHECK(driver.machine.jobs().find(5)->failures.begin()->second.size() == 2);
}

TEST_CASE("the time of the last run end of a job survives a restart")
{
    // A new leader counts the wait of the job from then on.
    Driver driver;
    driver.apply(submission(5, 3));
    CHECK(driver.machine.jobs().find(5)->lastRunEndUs == 0);
    for (const bool failed : { true, false }) {
        driver.now += 1000;
        driver.apply(ended(5, 0, failed, 1));
        CHECK(driver.machine.jobs().find(5)->lastRunEndUs == driver.machine.nowMicroseconds());
    }
    const std::int64_t last = driver.now;
    driver.now += 1000;
    driver.apply(ended(5, 0, false, 1));
    StateMachine other(driver.machine.cell());
    REQUIRE(other.restore(bytesOf(driver.machine.snapshot())));
    CHECK(other.jobs().find(5)->lastRunEndUs == last);
}

TEST_CASE("a crash under a task is recorded once and kept until the task is done")
{
    Driver driver;
    driver.apply(submission(5, 2));
    const state::Job &job = *driver.machine.jobs().find(5);
    const state::TaskKey task { .task = 1 };
    driver.apply(exposure(1, wire::CRASH_EXPOSURE_CHANGE_OPENED));
    driver.apply(exposure(2, wire::CRASH_EXPOSURE_CHANGE_OPENED));
    for (int it = 0; it < 2; ++it)
        driver.apply(exposure(1, wire::CRASH_EXPOSURE_CHANGE_CRASHED, 2));
    driver.apply(exposure(1, wire::CRASH_EXPOSURE_CHANGE_OPENED));
    driver.apply(exposure(2, wire::CRASH_EXPOSURE_CHANGE_CLEARED));
    REQUIRE(job.exposures.at(task).size() == 1);
    CHECK(job.exposures.at(task).front().crashed());
    CHECK(job.exposures.at(task).front().blame() == 2);
    driver.apply(exposure(3, wire::CRASH_EXPOSURE_CHANGE_SURVIVED));
    CHECK(job.exposures.at(task).front().blame() == 0);

    StateMachine other(driver.machine.cell());
    const std::string bytes = driver.machine.snapshot();
    REQUIRE(other.restore(bytesOf(bytes)));
    CHECK(other.snapshot() == bytes);

    for (std::uint64_t run = 10; run < 100; ++run)
        driver.apply(exposure(run, wire::CRASH_EXPOSURE_CHANGE_CRASHED));
    CHECK(job.exposures.at(task).size() == StateLimits {}.taskCrashExposures);
    driver.apply(ended(5, 1, false, 100));
    CHECK(job.exposures.empty());
    driver.apply(exposure(101, wire::CRASH_EXPOSURE_CHANGE_CRASHED));
    CHECK(job.exposures.empty());
}

TEST_CASE("the worker of a run stays known after its trial, and until its end is recorded")
{
    Driver driver;
    driver.apply(submission(5, 2));
    const state::Job &job = *driver.machine.jobs().find(5);
    const state::TaskKey task { .task = 1 };
    driver.apply(exposure(1, wire::CRASH_EXPOSURE_CHANGE_OPENED));
    driver.apply(exposure(1, wire::CRASH_EXPOSURE_CHANGE_SURVIVED));
    REQUIRE(job.exposures.at(task).size() == 1);
    CHECK(job.exposures.at(task).front().survived());
    CHECK_FALSE(job.exposures.at(task).front().over());
    driver.apply(exposure(1, wire::CRASH_EXPOSURE_CHANGE_OVER));
    CHECK(job.exposures.at(task).front().over());
    driver.apply(exposure(2, wire::CRASH_EXPOSURE_CHANGE_OVER));
    CHECK(job.exposures.at(task).size() == 1);
    driver.apply(ended(5, 1, false, 1));
    CHECK(job.exposures.empty());
}

TEST_CASE("only a higher version replaces the queue configuration")
{
    Driver driver;
    CHECK(driver.apply(queueProposal(7, "seven")).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(queueProposal(7, "other")).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.apply(queueProposal(3, "three")).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.machine.queues().current().source() == "seven");
    CHECK(driver.apply(queueProposal(12, "twelve")).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.machine.queues().version() == 12);
}

TEST_CASE("a snapshot restores queues, jobs, workers and the tenure, byte for byte")
{
    Driver driver;
    driver.apply(queueProposal(7, "seven"));
    driver.apply(submission(5, 3));
    driver.apply(ended(5, 1, false, 1));
    driver.apply(ended(5, 2, true, 4));
    driver.apply(submission(6, 1));
    driver.apply(ended(6, 0, false, 1));
    wire::Command workers;
    workers.mutable_change_workers()->add_put()->set_worker("w1");
    driver.apply(workers);
    wire::Command tenure;
    tenure.mutable_begin_tenure();
    CHECK(driver.apply(tenure).version() == 1);
    CHECK(driver.apply(tenure).version() == 2);

    const std::string bytes = driver.machine.snapshot();
    StateMachine other(driver.machine.cell());
    REQUIRE(other.restore(bytesOf(bytes)));
    CHECK(other.snapshot() == bytes);
    CHECK(other.jobs().find(5)->isDone({ .task = 1 }));
    CHECK(other.jobs().stateOf(6) == wire::JOB_STATE_COMPLETED);
    CHECK(other.workers().tenure() == 2);
    CHECK(other.queues().version() == 7);
}

TEST_CASE("a job is loaded from a snapshot of a version that kept one byte per task")
{
    const StateLimits limits;
    wire::JobRecord record;
    record.set_job(5);
    *record.mutable_spec() = submission(5, 3).submit_job().spec();
    record.mutable_spec()->mutable_schedule()->set_times(3);
    record.set_state(wire::JOB_STATE_ACTIVE);
    record.set_done(std::string("\1\1\1\0\0\0\0\1\0", 9));
    Jobs jobs(limits);
    REQUIRE(jobs.load(record));
    const Job *job = jobs.find(5);
    CHECK(job->results.doneCount() == 4);
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence) {
        for (std::uint32_t task = 0; task < 3; ++task) {
            const bool isDone = occurrence == 0 || (occurrence == 2 && task == 1);
            CHECK(job->isDone({ .occurrence = occurrence, .task = task }) == isDone);
        }
    }

    record.set_job(6);
    record.set_state(wire::JOB_STATE_COMPLETED);
    record.set_done(std::string(9, '\1'));
    REQUIRE(jobs.load(record));
    CHECK(jobs.stateOf(6) == wire::JOB_STATE_COMPLETED);
    record.set_job(7);
    record.set_state(wire::JOB_STATE_ACTIVE);
    record.set_done("\1");
    CHECK_FALSE(jobs.load(record));
}

TEST_CASE("an ended job is removed after its retention window; an active one is kept")
{
    Driver driver;
    driver.apply(submission(5, 1));
    driver.apply(submission(6, 1));
    driver.apply(ended(5, 0, false, 1));
    driver.now += 150'000'000;
    driver.apply(queueProposal(1, ""));
    CHECK(driver.machine.jobs().stateOf(5) == wire::JOB_STATE_COMPLETED);
    driver.now += 60'000'000;
    driver.apply(queueProposal(2, ""));
    CHECK_FALSE(driver.machine.jobs().stateOf(5));
    CHECK(driver.machine.jobs().stateOf(6) == wire::JOB_STATE_ACTIVE);
}

TEST_CASE("an ended job takes some dozen bytes, and they are accounted for")
{
    // Guards against memory that follows the size of jobs that are over, and against a figure that
    // is not what they take.
    const auto heapInUse = [] {
        const struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    constexpr std::uint64_t n = 20'000;
    wire::Command command = submission(0, 8);
    command.mutable_submit_job()->mutable_spec()->set_payload(std::string(4000, 'p'));
    const StateLimits limits;
    Jobs jobs(limits);
    const std::size_t before = heapInUse();
    for (std::uint64_t id = 1; id <= n; ++id) {
        command.mutable_submit_job()->set_job(id);
        REQUIRE(jobs.submit(command.submit_job(), {}, 0).outcome() == wire::OUTCOME_APPLIED);
        wire::CancelJob cancel;
        cancel.set_job(id);
        REQUIRE(jobs.cancel(cancel, 0).outcome() == wire::OUTCOME_APPLIED);
    }
    const std::size_t taken = heapInUse() - before;
    CHECK(taken < n * 96);
    CHECK(jobs.endedBytes() > taken / 2);
    CHECK(jobs.endedBytes() < taken * 2);

    Driver driver;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        command.mutable_submit_job()->set_job(id);
        driver.apply(command);
        wire::Command cancel;
        cancel.mutable_cancel_job()->set_job(id);
        driver.apply(cancel);
    }
    CHECK(driver.machine.snapshot().size() < 10'000);
}

TEST_CASE("active jobs go by the current definition of their queue, or by its last one")
{
    // Each job kept the definition that its queue had when the job was handed in.
    const auto proposal = [](std::uint64_t version, const std::string &name,
                             const std::string &prefix, const std::string &pool) {
        wire::Command command = queueProposal(version, "");
        wire::Queue *queue = command.mutable_propose_queues()->mutable_config()->add_queues();
        queue->set_name(name);
        queue->set_path_prefix(prefix);
        queue->set_pool(pool);
        return command;
    };
    Driver driver;
    driver.apply(proposal(1, "q", "/q/", "one"));
    const auto poolOf = [&](std::uint64_t id) {
        return driver.machine.jobs().find(id)->queue.pool();
    };
    // The command was made before the definition changed, and is applied after that.
    driver.apply(submission(5, 1));
    CHECK(poolOf(5) == "one");
    driver.apply(submission(6, 1));
    driver.apply(ended(6, 0, false, 1));
    driver.apply(proposal(2, "q", "/q/", "two"));
    CHECK(poolOf(5) == "two");
    // Nothing but its state is kept of a job that has ended.
    CHECK(driver.machine.jobs().find(6) == nullptr);
    CHECK(driver.machine.jobs().stateOf(6) == wire::JOB_STATE_COMPLETED);
    // An overtaken definition changes nothing.
    driver.apply(proposal(1, "q", "/q/", "one"));
    CHECK(poolOf(5) == "two");
    driver.apply(proposal(3, "renamed", "/q/", "three"));
    CHECK(driver.machine.jobs().find(5)->queue.name() == "renamed");
    CHECK(poolOf(5) == "three");
    driver.apply(proposal(4, "another", "/a/", "four"));
    CHECK(poolOf(5) == "three");

    const std::string bytes = driver.machine.snapshot();
    StateMachine other(driver.machine.cell());
    REQUIRE(other.restore(bytesOf(bytes)));
    CHECK(other.jobs().find(5)->queue.pool() == "three");
}
