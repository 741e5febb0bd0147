#include <doctest/doctest.h>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

namespace {

const Task &taskOf(const Driver &driver, const std::string &id)
{
    const Task *task = driver.machine.tasks().find(id);
    REQUIRE(task != nullptr);
    return *task;
}

} // namespace

TEST_CASE("an evicted task resumes once, from the last checkpoint, under the next epoch")
{
    Driver driver;
    driver.apply(team("warm", 100'000));
    CHECK(driver.apply(job("warm/j1", "warm")).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(job("warm/j1", "warm")).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.apply(lease("warm/j1", "w1", 1)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(lease("warm/j1", "w1", 1)).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    CHECK(driver.apply(lease("warm/j1", "w2", 2)).outcome() == wire::OUTCOME_WRONG_STATE);
    CHECK(driver.apply(stopped("warm/j1", 1, wire::STOP_REASON_EVICTED, "c7")).outcome()
          == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(lease("warm/j1", "w2", 2)).outcome() == wire::OUTCOME_CONTENT_CONFLICT);
    CHECK(driver.apply(lease("warm/j1", "w2", 1, "c7")).outcome() == wire::OUTCOME_STALE_EPOCH);
    CHECK(driver.apply(lease("warm/j1", "w2", 2, "c7")).outcome() == wire::OUTCOME_APPLIED);

    // Late reports for the first lease change nothing.
    CHECK(driver.apply(stopped("warm/j1", 1)).outcome() == wire::OUTCOME_STALE_EPOCH);
    CHECK(driver.apply(finished("warm/j1", 1)).outcome() == wire::OUTCOME_STALE_EPOCH);
    CHECK(taskOf(driver, "warm/j1").hasLiveLease());
    CHECK(taskOf(driver, "warm/j1").evictions == 1);
    CHECK(driver.apply(finished("warm/j1", 2)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(lease("warm/j1", "w3", 3, "c7")).outcome() == wire::OUTCOME_WRONG_STATE);
}

TEST_CASE("a cancellation waits for the live lease to end, even if the task is evicted")
{
    Driver driver;
    driver.apply(team("warm", 100'000));
    driver.apply(job("warm/j1", "warm"));
    driver.apply(lease("warm/j1", "w1", 1));
    CHECK(driver.apply(cancel("warm/j1")).outcome() == wire::OUTCOME_APPLIED);
    CHECK(taskOf(driver, "warm/j1").hasLiveLease());
    CHECK(driver.apply(cancel("warm/j1")).outcome() == wire::OUTCOME_ALREADY_APPLIED);
    driver.apply(stopped("warm/j1", 1));
    CHECK(taskOf(driver, "warm/j1").state == wire::TASK_STATE_CANCELLED);
    CHECK(driver.apply(lease("warm/j1", "w1", 2)).outcome() == wire::OUTCOME_WRONG_STATE);
}

TEST_CASE("leases stay within the team's quota, and a task larger than it is rejected at once")
{
    Driver driver;
    driver.apply(team("warm", 2'500));
    for (const char *id : { "warm/j1", "warm/j2", "warm/j3" })
        driver.apply(job(id, "warm"));
    CHECK(driver.apply(lease("warm/j1", "w1", 1)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(lease("warm/j2", "w1", 1)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(lease("warm/j3", "w1", 1)).outcome() == wire::OUTCOME_OVER_QUOTA);
    driver.apply(finished("warm/j1", 1));
    CHECK(driver.apply(lease("warm/j3", "w1", 1)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.machine.tasks().usageOf("warm").millicores == 2000);

    wire::Command large = job("warm/j4", "warm");
    large.mutable_submit_task()->mutable_size()->set_millicores(3000);
    CHECK(driver.apply(large).outcome() == wire::OUTCOME_OVER_QUOTA);
    CHECK(driver.apply(job("other/j1", "other")).outcome() == wire::OUTCOME_NOT_FOUND);
}

TEST_CASE("a task id starts with its owner, so teams can't take ids of other teams or replicas")
{
    Driver driver;
    driver.apply(team("warm", 100'000));
    CHECK(driver.apply(job("furiko/j1", "warm")).outcome() == wire::OUTCOME_INVALID);
    CHECK(driver.apply(job("@loopdraw/1", "warm")).outcome() == wire::OUTCOME_INVALID);
    wire::Command replica = job("@loopdraw/1", "");
    replica.mutable_submit_task()->set_service("loopdraw");
    CHECK(driver.apply(replica).outcome() == wire::OUTCOME_APPLIED);
    replica.mutable_submit_task()->set_task("@other/1");
    CHECK(driver.apply(replica).outcome() == wire::OUTCOME_INVALID);
    CHECK(driver.apply(team("@loopdraw", 1000)).outcome() == wire::OUTCOME_INVALID);
    replica.mutable_submit_task()->set_task("warm/j1");
    CHECK(driver.apply(replica).outcome() == wire::OUTCOME_INVALID);
}

TEST_CASE("a replica whose lease ended is leased again under the next epoch, even much later")
{
    Driver driver({ .endedTaskWindow = std::chrono::seconds(10) });
    wire::Command replica = job("@loopdraw/0", "");
    replica.mutable_submit_task()->set_service("loopdraw");
    driver.apply(replica);
    driver.apply(lease("@loopdraw/0", "w1", 1));
    CHECK(driver.apply(finished("@loopdraw/0", 1)).outcome() == wire::OUTCOME_APPLIED);
    driver.now += 60'000'000;
    CHECK(driver.apply(lease("@loopdraw/0", "w2", 2)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(finished("@loopdraw/0", 1)).outcome() == wire::OUTCOME_STALE_EPOCH);

    wire::Command failure;
    failure.mutable_task_failed()->set_task("@loopdraw/0");
    failure.mutable_task_failed()->set_epoch(2);
    failure.mutable_task_failed()->set_final(true);
    CHECK(driver.apply(failure).outcome() == wire::OUTCOME_APPLIED);
    wire::Command never;
    never.mutable_task_unschedulable()->set_task("@loopdraw/0");
    CHECK(driver.apply(never).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(lease("@loopdraw/0", "w1", 3)).outcome() == wire::OUTCOME_APPLIED);
    CHECK(driver.apply(cancel("@loopdraw/0")).outcome() == wire::OUTCOME_WRONG_STATE);
}

TEST_CASE("ended tasks are removed after the retention window")
{
    Driver driver({ .endedTaskWindow = std::chrono::seconds(10) });
    driver.apply(team("warm", 100'000));
    driver.apply(job("warm/j1", "warm"));
    driver.apply(job("warm/j2", "warm"));
    driver.apply(cancel("warm/j1"));
    driver.now += 11'000'000;
    driver.apply(cancel("warm/j2"));
    CHECK(driver.machine.tasks().find("warm/j1") == nullptr);
    CHECK(driver.machine.tasks().count(wire::TASK_STATE_CANCELLED) == 1);
}
