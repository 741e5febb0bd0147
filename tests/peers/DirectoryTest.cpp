#include <doctest/doctest.h>

#include "acaciafork/peers/Peers.h"

using namespace acaciafork;
using namespace acaciafork::peers;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp start = timestampFromMicroseconds(5'000'000);

Directory member(std::uint32_t id, std::vector<std::string> seeds)
{
    const std::string host = "10.0.0." + std::to_string(id);
    return Directory({},
                     { .self = { id },
                       .address = host + ":7000",
                       .controlAddress = host + ":8000",
                       .zone = "a" },
                     std::move(seeds));
}

} // namespace

TEST_CASE("processes that know one seed find each other by it")
{
    const std::vector<std::string> seeds { "10.0.0.1:7000" };
    Directory first = member(1, seeds);
    Directory second = member(2, seeds);
    Directory third = member(3, seeds);
    CHECK(first.tick(start).empty());
    for (auto *it : { &second, &third }) {
        const auto messages = it->tick(start);
        REQUIRE(messages.size() == 1);
        CHECK(messages[0].to == Directory::contactOf(0));
        const std::uint32_t id = it == &second ? 2 : 3;
        const auto answers = first.heard(start, { id }, "10.0.0." + std::to_string(id) + ":7000",
                                         messages[0].introduction);
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].to == ProcessId { id });
        it->heard(start, { 1 }, "10.0.0.1:7000", answers[0].introduction);
    }
    // The third has been told of the second, and the seed is asked as a contact no more.
    CHECK(third.members().contains(ProcessId { 2 }));
    CHECK(third.members().at(ProcessId { 2 }).controlAddress == "10.0.0.2:8000");
    for (const DirectoryMessage &it : third.tick(start + 1s))
        CHECK(it.to.value < Directory::firstContact);
}

TEST_CASE("a process at an address takes the place of the one that was there")
{
    Directory directory = member(1, {});
    wire::Introduction hello;
    hello.set_control_address("10.0.0.9:8000");
    directory.heard(start, { 9 }, "10.0.0.9:7000", hello);
    directory.heard(start + 1s, { 10 }, "10.0.0.9:7000", hello);
    CHECK(directory.members().size() == 1);
    CHECK(directory.members().contains(ProcessId { 10 }));
    // Old news of the one before does not bring it back.
    wire::Introduction gossip;
    gossip.set_control_address("10.0.0.5:8000");
    wire::KnownMember *old = gossip.add_members();
    old->set_process(9);
    old->set_address("10.0.0.9:7000");
    old->set_age_ms(3000);
    directory.heard(start + 2s, { 5 }, "10.0.0.5:7000", gossip);
    CHECK_FALSE(directory.members().contains(ProcessId { 9 }));
}

TEST_CASE("a member that nobody hears of is dropped")
{
    Directory directory = member(1, {});
    wire::Introduction hello;
    hello.set_control_address("10.0.0.9:8000");
    directory.heard(start, { 9 }, "10.0.0.9:7000", hello);
    directory.tick(start + 14s);
    CHECK(directory.members().size() == 1);
    directory.tick(start + 16s);
    CHECK(directory.members().empty());
}

TEST_CASE("a connection that has gone silent is made anew, again and again")
{
    LinkWatch watch;
    const std::vector<ProcessId> expected { ProcessId { 2 } };
    CHECK(watch.silent(start, expected).empty());
    CHECK(watch.silent(start + 1400ms, expected).empty());
    CHECK(watch.silent(start + 1500ms, expected).size() == 1);
    CHECK(watch.silent(start + 1600ms, expected).empty());
    const std::vector<SilentPeer> again = watch.silent(start + 3s, expected);
    REQUIRE(again.size() == 1);
    CHECK_FALSE(again.front().isNew);
    CHECK(watch.heard(start + 3s, { 2 }));
    CHECK_FALSE(watch.heard(start + 3s, { 2 }));
    CHECK(watch.silent(start + 4s, expected).empty());
    const std::vector<SilentPeer> second = watch.silent(start + 5s, expected);
    REQUIRE(second.size() == 1);
    CHECK(second.front().isNew);
}

TEST_CASE("a call that no leader was known for is refused, one that was sent twice is marked")
{
    CallTable table({ .unsentTimeout = 400ms }, 1);
    int status = 0;
    table.begin(start, {}, [&](const ApiAnswer &answer) { status = answer.status; });
    table.expire(start + 300ms);
    CHECK(status == 0);
    table.expire(start + 400ms);
    CHECK(status == 503);

    bool isRepeated = false;
    const std::uint64_t call = table.begin(
            start, {}, [&](const ApiAnswer &answer) { isRepeated = answer.isRepeated; });
    CHECK(table.due(start).size() == 1);
    CHECK(table.due(start + 500ms).size() == 1);
    table.expire(start + 600ms);
    table.end(call, { .status = 503 });
    CHECK(isRepeated);
}
