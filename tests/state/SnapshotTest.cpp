#include <doctest/doctest.h>

#include <random>

#include <google/protobuf/stubs/logging.h>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

namespace {

/// Returns a log whose commands change most of the tables.
std::vector<std::string> variedLog(const StateLimits &limits)
{
    Driver driver(limits);
    wire::Command named = proposal(0, "aiko");
    named.set_request_id("r-1");
    driver.apply(named);
    driver.apply(proposal(0, "wei"));
    driver.apply(rack("r1", "old-hall"));
    driver.apply(rack("r2", "old-hall"));
    driver.apply(team("warm", 3000));
    wire::Command placement;
    wire::Placement *body = placement.mutable_put_placement()->mutable_placement();
    body->set_service("loopdraw");
    body->set_replicas(3);
    body->mutable_size()->set_millicores(1000);
    body->mutable_size()->set_memory_mb(1000);
    driver.apply(placement);
    wire::Command batch;
    for (const char *id : { "warm/j1", "warm/j2", "warm/j3", "warm/j4" })
        *batch.mutable_batch()->add_commands() = job(id, "warm");
    driver.apply(batch);
    driver.apply(lease("warm/j1", "w1", 1));
    driver.apply(lease("warm/j2", "w1", 1));
    driver.apply(stopped("warm/j1", 1, wire::STOP_REASON_EVICTED, "c1"));
    driver.apply(finished("warm/j2", 1));
    driver.apply(cancel("warm/j3"));
    driver.now += 2'000'000;
    driver.apply(ledgerBegin("k", 1));
    driver.apply(ledgerBegin("l", 2));
    driver.apply(ledgerEnd("k", 1, wire::LEDGER_OUTCOME_ANSWERED));
    wire::Command plan;
    wire::Move *move = plan.mutable_plan_move()->mutable_move();
    move->set_id("weekend");
    move->set_from_building("old-hall");
    move->set_to_building("new-hall");
    move->add_steps()->set_rack("r1");
    driver.apply(plan);
    driver.apply(changeRack("r1", wire::RACK_STATE_DRAINING, 1));
    driver.now += 9'000'000;
    driver.apply(lease("warm/j1", "w2", 2, "c1"));
    driver.apply(finished("warm/j1", 2));
    return driver.log;
}

} // namespace

TEST_CASE("a snapshot after any prefix of a log restores the state and gives the same results")
{
    const StateLimits limits { .endedTaskWindow = std::chrono::seconds(10),
                               .ledgerWindow = std::chrono::seconds(10),
                               .requestWindow = std::chrono::seconds(10) };
    const std::vector<std::string> log = variedLog(limits);
    for (std::size_t cut = 0; cut <= log.size(); ++cut) {
        StateMachine original(testCell, limits);
        for (std::size_t i = 0; i < cut; ++i)
            original.apply(i + 1, bytesOf(log[i]));
        StateMachine copy(testCell, limits);
        REQUIRE(copy.restore(bytesOf(original.snapshot())));
        CHECK(copy.snapshot() == original.snapshot());

        // The rest of the log gives the same results and the same state on both.
        for (std::size_t i = cut; i < log.size(); ++i) {
            const ApplyResult expected = original.apply(i + 1, bytesOf(log[i]));
            CHECK(copy.apply(i + 1, bytesOf(log[i])).SerializeAsString()
                  == expected.SerializeAsString());
        }
        CHECK(copy.snapshot() == original.snapshot());
    }
}

TEST_CASE("a corrupt snapshot is rejected and changes nothing")
{
    StateMachine original(testCell);
    const std::vector<std::string> log = variedLog({});
    for (std::size_t i = 0; i < log.size(); ++i)
        original.apply(i + 1, bytesOf(log[i]));
    const std::string bytes = original.snapshot();
    StateMachine copy(testCell);
    REQUIRE(copy.restore(bytesOf(bytes)));

    // Every truncation, and every byte with one bit flipped.
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        CHECK_FALSE(copy.restore(bytesOf(std::string_view(bytes).substr(0, i))));
        std::string flipped = bytes;
        flipped[i] = static_cast<char>(flipped[i] ^ 0x10);
        CHECK_FALSE(copy.restore(bytesOf(flipped)));
    }
    CHECK(copy.snapshot() == bytes);
    StateMachine other(CellId { 2 });
    CHECK_FALSE(other.restore(bytesOf(bytes)));
}

TEST_CASE("corrupt commands never crash and never make two members diverge")
{
    google::protobuf::SetLogHandler(nullptr);
    constexpr std::uint64_t rounds = 20'000;
    std::mt19937_64 random(20261203); // NOLINT: the seed is fixed on purpose
    const std::vector<std::string> log = variedLog({});
    StateMachine one(testCell);
    StateMachine two(testCell);
    for (std::uint64_t i = 0; i < rounds; ++i) {
        std::string bytes = log[random() % log.size()];
        const std::size_t changes = random() % 4;
        for (std::size_t n = 0; n < changes; ++n)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 8 == 0)
            bytes.resize(random() % (bytes.size() + 1));
        const std::uint64_t index = i + 1;
        CHECK(one.apply(index, bytesOf(bytes)).SerializeAsString()
              == two.apply(index, bytesOf(bytes)).SerializeAsString());
    }
    CHECK(one.snapshot() == two.snapshot());
}
