#include <doctest/doctest.h>

#include <array>

#include "acaciafork/peers/Peers.h"

using namespace acaciafork;
using namespace acaciafork::peers;

namespace {

/// Two processes whose messages go straight to each other.
struct Pair
{
    Timeline firstTimeline { ProcessId { 1 }, 16 };
    Timeline secondTimeline { ProcessId { 2 }, 16 };
    CounterRegistry firstCounters;
    CounterRegistry secondCounters;
    std::vector<wire::Envelope> arrived;
    std::string lastBytes;
    PeerLink second;
    PeerLink first;

    explicit Pair(std::string secondCluster = "c")
        : second(
                { .process = { 2 },
                  .incarnation = { 9 },
                  .cluster = std::move(secondCluster),
                  .cell = { 1 } },
                &secondTimeline, &secondCounters, [](ProcessId, std::span<const std::byte>) {},
                [this](const wire::Envelope &envelope) { arrived.push_back(envelope); })
        , first(
                  { .process = { 1 }, .incarnation = { 5 }, .cluster = "c", .cell = { 1 } },
                  &firstTimeline, &firstCounters,
                  [this](ProcessId, std::span<const std::byte> bytes) {
                      lastBytes.assign(reinterpret_cast<const char *>(bytes.data()), bytes.size());
                      second.receive(bytes, 50);
                  },
                  [](const wire::Envelope &) {})
    { }

    void sendNotLeader()
    {
        wire::Envelope envelope;
        envelope.mutable_not_leader()->set_leader(3);
        first.send(ProcessId { 2 }, &envelope, 1000);
    }
};

} // namespace

TEST_CASE("a message arrives with its sender, and its time orders what follows")
{
    Pair pair;
    pair.sendNotLeader();
    REQUIRE(pair.arrived.size() == 1);
    CHECK(pair.arrived[0].sender() == 1);
    CHECK(pair.arrived[0].incarnation() == 5);

    // The receiver's wall clock is behind; its next event is later all the same.
    pair.secondTimeline.record(51, EventKind::LeaderLost, "");
    CHECK(pair.secondTimeline.events()[0].time.wallMicroseconds >= 1000);
}

TEST_CASE("foreign and malformed messages are counted and dropped")
{
    Pair pair("other");
    pair.sendNotLeader();
    CHECK(pair.arrived.empty());
    CHECK(pair.secondCounters.counter("peer_messages_dropped_total{reason=\"foreign\"}").value
          == 1);

    // Every prefix of a right message, and every message with one byte changed, does no harm.
    const std::string bytes = pair.lastBytes;
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        pair.second.receive(std::as_bytes(std::span(bytes.data(), n)), 60);
        std::string changed = bytes;
        changed[n] = static_cast<char>(changed[n] ^ 0x5a);
        pair.second.receive(std::as_bytes(std::span(changed)), 60);
    }
    CHECK(pair.secondCounters.counter("peer_messages_dropped_total{reason=\"malformed\"}").value
          > 0);
}

TEST_CASE("reports and grants survive their encoding")
{
    const routing::CreditReport report {
        .entry = { 4 },
        .entryIncarnation = { 77 },
        .zone = { "a" },
        .term = 3,
        .number = 12,
        .full = true,
        .demands = { { .service = { "s" }, .wanted = 5, .held = 4, .spare = 1 } },
        .holdings = { { .endpoint = { "e" },
                        .service = { "s" },
                        .grantNumber = 8,
                        .slots = 4,
                        .inUse = 3,
                        .lingering = 1,
                        .connections = 6,
                        .refusals = 2 } },
        .leaving = { { .endpoint = { "gone" }, .incarnation = { 6 } } }
    };
    wire::Envelope envelope;
    envelope.set_sender(4);
    envelope.set_incarnation(77);
    encodeReport(report, envelope.mutable_credit_report());
    const routing::CreditReport back = decodeReport(envelope);
    CHECK(back.entry == report.entry);
    CHECK(back.number == 12);
    CHECK(back.full);
    REQUIRE(back.holdings.size() == 1);
    CHECK(back.holdings[0].refusals == 2);
    CHECK(back.holdings[0].lingering == 1);
    CHECK(back.demands.at(0).spare == 1);
    CHECK(back.holdings[0].service.value == "s");
    REQUIRE(back.leaving.size() == 1);
    CHECK(back.leaving[0].incarnation.value == 6);

    routing::CreditGrant grant { .entry = { 4 },
                                 .entryIncarnation = { 77 },
                                 .term = 3,
                                 .reportNumber = 12,
                                 .lease = Duration(6'000'000) };
    grant.grants.push_back({ .endpoint = { "e" },
                             .service = { "s" },
                             .address = "127.0.0.1:9",
                             .zone = { "z" },
                             .rack = { "r" },
                             .incarnation = { 2 },
                             .grantNumber = 9,
                             .slots = 4,
                             .connections = 8,
                             .hasEvidence = true,
                             .evidence = { .age = Duration(5),
                                           .requestsInProgress = 2,
                                           .listsAttempts = true,
                                           .attemptsInProgress = { AttemptId { 11 } } } });
    grant.leaving.push_back({ .endpoint = { "gone" }, .incarnation = { 6 } });
    wire::CreditGrant message;
    encodeGrant(grant, &message);
    const routing::CreditGrant grantBack = decodeGrant(message, ProcessId { 4 });
    CHECK(grantBack.lease == Duration(6'000'000));
    CHECK(grantBack.leaving.size() == 1);
    REQUIRE(grantBack.grants.size() == 1);
    CHECK(grantBack.grants[0].hasEvidence);
    CHECK(grantBack.grants[0].evidence.attemptsInProgress == std::vector { AttemptId { 11 } });
    CHECK(grantBack.grants[0].address == "127.0.0.1:9");
}

TEST_CASE("peers in settings are checked word by word")
{
    std::vector<SettingsProblem> problems;
    const auto read = [&](const std::vector<std::string> &words) {
        std::vector<PeerAddress> peers;
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(peers, parsePeers(words, true, "f", "control", "members"));
                    return {};
                },
                [&](const SettingsProblems &all) { problems = all.problems; },
                [] { FAIL("untyped"); });
        return peers;
    };
    const auto peers = read({ "1@a@127.0.0.1:1", "2@b@127.0.0.1:2" });
    REQUIRE(peers.size() == 2);
    CHECK(peers[1].zone.value == "b");
    CHECK(peers[1].address == "127.0.0.1:2");
    read({ "1@a@127.0.0.1:1", "1@b@127.0.0.1:2", "x@a@h:1", "3@127.0.0.1:4", "4@a@nowhere" });
    CHECK(problems.size() == 4);
}
