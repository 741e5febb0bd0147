#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>

#include "tests/sessions/Session.h"

using namespace acaciafork;
using namespace acaciafork::sessions;

namespace {

/// Compares with the golden file, or rewrites it when ACACIAFORK_UPDATE_GOLDEN is set.
void checkGolden(const std::string &name, const std::string &text)
{
    const std::string path = std::string(ACACIAFORK_GOLDEN_DIR) + "/sessions/" + name + ".txt";
    if (std::getenv("ACACIAFORK_UPDATE_GOLDEN") != nullptr)
        std::ofstream(path, std::ios::binary) << text;
    std::string golden;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(golden, readFile(path));
                return {};
            },
            [] { FAIL("the golden file is missing"); });
    CHECK(text == golden);
}

wire::Command configuration(std::uint64_t expectedVersion)
{
    wire::Command command;
    command.set_request_id("config-" + std::to_string(expectedVersion));
    command.mutable_propose_config()->set_expected_version(expectedVersion);
    command.mutable_propose_config()->set_author("operator");
    wire::ServiceSpec *service =
            command.mutable_propose_config()->mutable_document()->add_services();
    service->set_name("loopdraw");
    service->set_deadline_ms(1000);
    service->set_longest_deadline_ms(5000);
    service->set_queue_limit(16);
    service->set_slots(2);
    service->set_connections(64);
    service->set_retry_budget_percent(10);
    service->set_ejected_percent(50);
    return command;
}

/// A request that has one second.
routing::RequestInfo info(std::uint64_t number, std::int64_t atMs, std::uint64_t key = 0)
{
    return { .request = { (std::uint64_t { 11 } << 48) | (10'000 + number) },
             .service = { "loopdraw" },
             .routeHash = 1,
             .idempotent = key == 0,
             .keyDigest = key,
             .bodyDigest = 7,
             .deadline = timestampFromMicroseconds((atMs + 1000) * 1000) };
}

/// A request every 50 ms at the entries in turn.
void load(Session *session, std::int64_t fromMs, std::int64_t toMs,
          std::initializer_list<std::uint32_t> entries)
{
    const std::vector<std::uint32_t> targets(entries);
    for (std::int64_t ms = fromMs; ms < toMs; ms += 50) {
        const auto number = static_cast<std::uint64_t>(ms / 50);
        const std::uint32_t entry = targets[number % targets.size()];
        session->at(ms, [=] {
            session->request("request " + std::to_string(number) + " at " + std::to_string(entry),
                             entry, info(number, ms));
        });
    }
}

} // namespace

TEST_CASE("requests, a leaving endpoint, and the loss of the leader and of an entry")
{
    Session session;
    session.addEndpoint("e1", 2);
    session.addEndpoint("e2", 2);
    session.addEndpoint("e3", 2);
    session.at(100, [&] { session.elect(1); });
    session.at(300, [&] { session.propose("configuration", configuration(0)); });
    session.at(310, [&] { session.propose("the same again", configuration(0)); });
    load(&session, 5000, 7000, { 11, 12 });

    // An endpoint leaves; nothing new reaches it, and nothing in progress is lost.
    session.at(7000, [&] { session.leaveEndpoint("e1"); });
    load(&session, 7000, 9000, { 11, 12 });

    // The leader dies; the entries go on under their credit until the next one takes over.
    session.at(9000, [&] { session.kill(1); });
    session.at(9400, [&] { session.elect(2); });
    load(&session, 9000, 11'000, { 11, 12 });

    // An entry dies; the other one serves on.
    session.at(11'000, [&] { session.kill(12); });
    load(&session, 11'000, 20'000, { 11 });
    session.runUntil(22'000);
    CHECK(session.overshoot() == 0);
    checkGolden("leader-and-entry-lost", session.log());
}

TEST_CASE("a key runs at most once, through either entry, across a change of leader")
{
    Session session;
    session.addEndpoint("e1", 2);
    session.at(100, [&] { session.elect(1); });
    session.at(300, [&] { session.propose("configuration", configuration(0)); });
    session.at(5000, [&] { session.request("first", 11, info(1, 5000, 99)); });
    session.at(5001, [&] { session.request("twin while it runs", 12, info(2, 5001, 99)); });
    session.at(5500, [&] { session.request("repeat after its end", 12, info(3, 5500, 99)); });
    session.at(6000, [&] { session.kill(1); });
    session.at(6400, [&] { session.elect(2); });
    session.at(7000,
               [&] { session.request("repeat under the next leader", 12, info(4, 7000, 99)); });
    session.at(7100, [&] {
        routing::RequestInfo other = info(5, 7100, 99);
        other.bodyDigest = 8;
        session.request("same key, other body", 11, other);
    });
    session.runUntil(9000);
    checkGolden("at-most-once", session.log());
}

TEST_CASE("the time line has one event for each change of a zone, and none for a repeated order")
{
    // Orders are repeated when their answers are lost; events of repeats would hide when the zone
    // was closed.
    const auto changeZone = [](const std::string &request, bool closed) {
        wire::Command command;
        command.set_request_id(request);
        command.mutable_change_zone()->set_zone("a");
        command.mutable_change_zone()->set_closed(closed);
        return command;
    };
    Session session;
    session.at(100, [&] { session.elect(1); });
    session.at(300, [&] { session.propose("close", changeZone("z1", true)); });
    session.at(400, [&] { session.propose("close again", changeZone("z2", true)); });
    session.at(500, [&] { session.propose("open", changeZone("z3", false)); });
    session.at(600, [&] { session.propose("open again", changeZone("z4", false)); });
    session.runUntil(1000);
    const std::string log = session.log();
    CHECK(log.find("close again already-applied\n") != std::string::npos);
    const auto count = [&log](const std::string &line) {
        std::size_t found = 0;
        for (std::size_t at = log.find(line); at != std::string::npos; at = log.find(line, at + 1))
            ++found;
        return found;
    };
    CHECK(count("302ms process=1 zone-closed a\n") == 1);
    CHECK(count("502ms process=1 zone-opened a\n") == 1);
    CHECK(count(" zone-") == 2);
}
