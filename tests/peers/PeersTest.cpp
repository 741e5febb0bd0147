#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>

#include "acaciafork/peers/Peers.h"

using namespace acaciafork;
using namespace acaciafork::peers;

namespace {

constexpr Timestamp at(std::int64_t ms)
{
    return timestampFromMicroseconds(ms * 1000);
}

constexpr std::array members { ProcessId { 1 }, ProcessId { 2 }, ProcessId { 3 } };

} // namespace

TEST_CASE("a silent member is left for the next one")
{
    LeaderTracker tracker(members, {});
    tracker.heardLeader(at(0), ProcessId { 1 });
    tracker.tick(at(599));
    CHECK(tracker.target() == ProcessId { 1 });
    CHECK(tracker.confirmed());
    tracker.tick(at(600));
    CHECK(tracker.target() == ProcessId { 2 });
    CHECK_FALSE(tracker.confirmed());
}

TEST_CASE("a hint moves to the leader, and only the member asked may give it")
{
    LeaderTracker tracker(members, {});
    tracker.heardNotLeader(at(1), ProcessId { 1 }, ProcessId { 3 });
    CHECK(tracker.target() == ProcessId { 3 });
    tracker.heardNotLeader(at(2), ProcessId { 1 }, ProcessId { 2 });
    CHECK(tracker.target() == ProcessId { 3 });
    tracker.heardNotLeader(at(3), ProcessId { 3 }, ProcessId {});
    CHECK(tracker.target() == ProcessId { 1 });
}

TEST_CASE("a changed member list keeps the target when it is still in it")
{
    LeaderTracker tracker(members, {});
    tracker.heardLeader(at(1), ProcessId { 3 });
    tracker.setMembers(std::array { ProcessId { 3 }, ProcessId { 4 } });
    CHECK(tracker.target() == ProcessId { 3 });
    CHECK(tracker.confirmed());
    tracker.setMembers(std::array { ProcessId { 4 } });
    CHECK(tracker.target() == ProcessId { 4 });
    CHECK_FALSE(tracker.confirmed());
}

TEST_CASE("a refusal of a call that its receiver passed on twice is marked as one of several")
{
    // A follower that asks two leaders gets a refusal from one while the other may accept.
    CallTable table({}, 1);
    bool isRepeated = false;
    const std::uint64_t call = table.begin(
            at(0), {}, [&](const ApiAnswer &answer) { isRepeated = answer.isRepeated; });
    CHECK(table.due(at(0)).size() == 1);
    table.end(call, { .status = 503, .isRepeated = true });
    CHECK(isRepeated);
}

TEST_CASE("a call ends exactly once, is sent again while silent, and times out")
{
    CallTable table({}, 100);
    std::vector<int> statuses;
    const auto note = [&](const ApiAnswer &answer) { statuses.push_back(answer.status); };
    const std::uint64_t first = table.begin(at(0), ApiCall { .method = "GET" }, note);
    const std::uint64_t second = table.begin(at(0), ApiCall { .method = "PUT" }, note);
    CHECK(first == 100);

    CHECK(table.due(at(0)).size() == 2);
    CHECK(table.due(at(399)).empty());
    table.hasten(second);
    CHECK(table.due(at(399)).size() == 1);

    table.end(first, { .status = 200 });
    table.end(first, { .status = 500 });
    CHECK(statuses == std::vector { 200 });

    table.expire(at(5000));
    CHECK(statuses == std::vector { 200, 504 });
    CHECK(table.size() == 0);
}

TEST_CASE("a full call table refuses")
{
    CallTable table({ .mostCalls = 1 }, 1);
    CHECK(table.begin(at(0), {}, [](const ApiAnswer &) {}) == 1);
    CHECK(table.begin(at(0), {}, [](const ApiAnswer &) {}) == 0);
}
