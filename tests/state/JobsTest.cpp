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

wire::Command queueProposal(std::uint64_t version, const std::string &source)
{
    wire::Command command;
    wire::QueueConfig *config = command.mutable_propose_queues()->mutable_config();
    config->set_version(version);
    config->set_source(source);
    return command;
}

} // namespace

TEST_CASE("a job is one however often it is handed in, and complete when all its tasks are done")
{
    Driver driver;
    CHECK(driver.apply(submission(5, 2)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(submission(5, 9)).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    driver.apply(ended(5, 0, false, 1));
    driver.apply(ended(5, 0, false, 1));
    CHECK(driver.machine.jobs().find(5)->state == wire::JOB_STATE_ACTIVE);
    driver.apply(ended(5, 1, false, 1));
    CHECK(driver.machine.jobs().find(5)->state == wire::JOB_STATE_COMPLETED);
    CHECK(driver.apply(submission(6, 0)).outcome() == wire::OUTCOME_INVALID);
}

TEST_CASE("the same failed run counts once, whoever records it")
{
    Driver driver;
    driver.apply(submission(5, 1));
    for (const std::uint64_t run : { 1, 1, 100'001, 1 })
        driver.apply(ended(5, 0, true, run));
    CHECK(driver.machine.jobs().find(5)->failures.begin()->second.size() == 2);
}

TEST_CASE("the highest version of the queues stays, and lower ones change nothing")
{
    Driver driver;
    CHECK(driver.apply(queueProposal(7, "seven")).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(queueProposal(7, "other")).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.apply(queueProposal(3, "three")).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.machine.queues().current().source() == "seven");
    CHECK(driver.apply(queueProposal(12, "twelve")).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.machine.queues().version() == 12);
}

TEST_CASE("queues, jobs, workers and the tenure come back with a snapshot, byte for byte")
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
    CHECK(other.jobs().find(6)->state == wire::JOB_STATE_COMPLETED);
    CHECK(other.workers().tenure() == 2);
    CHECK(other.queues().version() == 7);
}

TEST_CASE("an ended job is told of for a while, then forgotten; an active one never")
{
    Driver driver;
    driver.apply(submission(5, 1));
    driver.apply(submission(6, 1));
    driver.apply(ended(5, 0, false, 1));
    driver.now += 150'000'000;
    driver.apply(queueProposal(1, ""));
    CHECK(driver.machine.jobs().find(5) != nullptr);
    driver.now += 60'000'000;
    driver.apply(queueProposal(2, ""));
    CHECK(driver.machine.jobs().find(5) == nullptr);
    CHECK(driver.machine.jobs().find(6) != nullptr);
}
