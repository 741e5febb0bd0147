#include <doctest/doctest.h>

#include <algorithm>
#include <array>

#include "tests/decisions/routing/SimulatedCluster.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;

/// Puts a request of 20 ms at each entry in turn, every millisecond.
void addSteadyLoad(SimulatedCluster *cluster, int entries, std::int64_t from, std::int64_t to)
{
    constexpr std::int64_t interval = 1000;
    for (std::int64_t it = from; it < to; it += interval) {
        const int entry = static_cast<int>(it / interval % entries);
        cluster->at(it, [cluster, entry] {
            cluster->submit(
                    SimulatedRequest { .entry = entry, .work = std::chrono::milliseconds(20) });
        });
    }
}

int countOf(const SimulatedCluster &cluster, RequestOutcome outcome)
{
    int count = 0;
    for (const RequestResult &it : cluster.records())
        count += it.outcome == outcome ? 1 : 0;
    return count;
}

/// Slots charged, or unknown, of all endpoints.
std::uint32_t chargedSlots(const SimulatedCluster &cluster)
{
    std::uint32_t sum = 0;
    for (const auto &[name, row] : cluster.grantor().tables().endpointRows()) {
        const GrantorEndpoint &it = cluster.grantor().tables().endpoint(row);
        sum += it.chargedSlots + it.unreportedSlots;
    }
    return sum;
}

} // namespace

TEST_CASE("a leaving endpoint gets nothing new within two seconds without a control leader")
{
    ClusterOptions options { .entries = 7, .endpoints = 6, .slots = 8, .connections = 64 };
    options.lostPercent = 10;
    SimulatedCluster cluster(options);
    addSteadyLoad(&cluster, options.entries, 10 * second, 20 * second);
    cluster.at(13 * second, [&] { cluster.loseLeader(); });
    cluster.at(14 * second, [&] { cluster.leaveEndpoint(2); });
    cluster.runUntil(25 * second);
    CHECK(cluster.startsAt(2) > 0);
    // It announces once a second that it leaves; the word then takes a hop or two.
    CHECK(cluster.lastStartAt(2) < 16 * second);
    CHECK(cluster.lastStartAt(1) > 17 * second);
    CHECK(cluster.overshoots() == 0);
}

TEST_CASE("requests go on while a new leader is found")
{
    ClusterOptions options { .entries = 4, .endpoints = 4, .slots = 8, .connections = 64 };
    SimulatedCluster cluster(options);
    addSteadyLoad(&cluster, options.entries, 10 * second, 25 * second);
    cluster.at(14 * second, [&] { cluster.loseLeader(); });
    cluster.at(17 * second, [&] { cluster.changeLeader(); });
    cluster.runUntil(30 * second);
    CHECK(countOf(cluster, RequestOutcome::Answered) == static_cast<int>(cluster.records().size()));
    CHECK(cluster.overshoots() == 0);
}

TEST_CASE("a new leader grants nothing that an entry may hold that has not reported")
{
    ClusterOptions options { .entries = 2, .endpoints = 1, .slots = 4, .connections = 32 };
    SimulatedCluster cluster(options);
    addSteadyLoad(&cluster, options.entries, 10 * second, 40 * second);
    cluster.at(14 * second, [&] { cluster.setPartitioned(1, true); });
    cluster.at(15 * second, [&] { cluster.changeLeader(); });
    // Until the lease of the entry that is cut off is over its part stays unknown.
    cluster.runUntil(20 * second);
    const auto &tables = cluster.grantor().tables();
    const TableIndex row = tables.findEndpoint(EndpointName { "endpoint-0" });
    CHECK(tables.endpoint(row).unreportedSlots > 0);
    CHECK(chargedSlots(cluster) <= 4);
    cluster.runUntil(40 * second);
    CHECK(tables.endpoint(row).unreportedSlots == 0);
    CHECK(cluster.overshoots() == 0);
}

TEST_CASE("credit of a lost entry is quarantined until an announcement proves it free")
{
    ClusterOptions options { .entries = 2, .endpoints = 1, .slots = 4, .connections = 32 };
    SimulatedCluster cluster(options);
    cluster.runUntil(10 * second);
    // Both slots of the entry are at work for long when it dies.
    for (int it = 0; it < 2; ++it)
        cluster.submit(SimulatedRequest { .entry = 1, .work = std::chrono::seconds(30) });
    cluster.runUntil(11 * second);
    cluster.crashEntry(1);
    addSteadyLoad(&cluster, 1, 12 * second, 60 * second);
    cluster.runUntil(35 * second);
    const auto &tables = cluster.grantor().tables();
    const TableIndex row = tables.findEndpoint(EndpointName { "endpoint-0" });
    const TableIndex lost = tables.findSession(ProcessId { 2 }, Incarnation { 1 });
    REQUIRE(lost != noIndex);
    CHECK(tables.session(lost).holdings.at(row).chargedSlots() == 2);
    cluster.runUntil(45 * second);
    CHECK(tables.session(lost).holdings.at(row).chargedSlots() == 0);
    CHECK(cluster.overshoots() == 0);
}

TEST_CASE("room of a leaving endpoint that an unknown entry may hold is freed by its announcements")
{
    // The entry that may hold credit of the last leadership is lost and never reports.
    CreditGrantor grantor({});
    GrantorCommands commands;
    const std::array known { ProcessId { 1 } };
    grantor.becameLeader(Timestamp(), 2, known, true, &commands);
    EndpointAnnouncement announcement { .endpoint = { "e" },
                                        .service = { "s" },
                                        .address = "127.0.0.1:1",
                                        .incarnation = { 5 },
                                        .slots = 8,
                                        .connections = 64 };
    for (std::int64_t it = 0; it < 200; ++it) {
        const Timestamp now = timestampFromMicroseconds(it * second);
        announcement.sequence = static_cast<std::uint64_t>(it + 1);
        grantor.endpointAnnounced(now, announcement, &commands);
        if (it == 1)
            grantor.endpointLeaving(now, { .endpoint = { "e" }, .incarnation = { 5 } }, &commands);
        grantor.tick(now, &commands);
        const auto &rows = grantor.tables().endpointRows();
        REQUIRE(rows.size() == 1);
        const GrantorEndpoint &endpoint = grantor.tables().endpoint(rows.begin()->second);
        CHECK(endpoint.usable == (it == 0));
        if (it < 2)
            CHECK(endpoint.unreportedSlots == 8);
        if (it >= 30)
            CHECK(endpoint.unreportedSlots == 0);
    }
}

TEST_CASE("grants follow demand")
{
    ClusterOptions options { .entries = 4, .endpoints = 4, .slots = 8, .connections = 64 };
    SimulatedCluster cluster(options);
    cluster.runUntil(10 * second);
    // Only the first entry has work, more than its even part of the slots.
    for (std::int64_t it = 0; it < 2000; ++it) {
        cluster.at(10 * second + it * 5000, [&] {
            cluster.submit(SimulatedRequest { .entry = 0, .work = std::chrono::milliseconds(100) });
        });
    }
    cluster.runUntil(25 * second);
    CHECK(countOf(cluster, RequestOutcome::Answered) >= 1990);
    CHECK(cluster.overshoots() == 0);
}

TEST_CASE("an aperture bounds the endpoints that an entry reaches, never what it can hold")
{
    for (const std::uint32_t aperture : { 4U, 0U }) {
        ClusterOptions options { .entries = 2, .endpoints = 40, .slots = 8, .connections = 64 };
        options.service.aperture = aperture;
        SimulatedCluster cluster(options);
        addSteadyLoad(&cluster, 1, 10 * second, 20 * second);
        // Half of all slots goes to the entry that has nothing to do.
        cluster.runUntil(20 * second);
        const auto &tables = cluster.grantor().tables();
        const TableIndex session = tables.findSession(ProcessId { 1 }, Incarnation { 1 });
        const SessionDemand &demand = tables.session(session).demands.at(0);
        CHECK(demand.granted >= 150);
        CHECK(demand.endpoints == (aperture == 0 ? 40 : std::min(40U, 2 * demand.target / 8)));
        CHECK(cluster.overshoots() == 0);
    }
}

TEST_CASE("messages of an idle system do not grow with its endpoints")
{
    for (const int endpoints : { 4, 64 }) {
        ClusterOptions options {
            .entries = 4, .endpoints = endpoints, .slots = 8, .connections = 64
        };
        options.announceInterval = std::chrono::seconds(3);
        SimulatedCluster cluster(options);
        cluster.runUntil(30 * second);
        const std::int64_t before = cluster.controlMessages();
        cluster.runUntil(60 * second);
        // Announcements apart, heartbeats and their answers are all there is.
        const std::int64_t announcements = 10 * std::int64_t { endpoints };
        CHECK(cluster.controlMessages() - before - announcements <= 4 * 2 * 31);
    }
}

TEST_CASE("late and repeated announcements do not bring an endpoint back")
{
    CreditGrantor grantor((CreditSettings()));
    GrantorCommands commands;
    Timestamp now = timestampFromMicroseconds(second);
    grantor.becameLeader(now, 1, {}, true, &commands);
    EndpointAnnouncement announcement { .endpoint = EndpointName { "endpoint-0" },
                                        .service = ServiceName { "loopdraw" },
                                        .incarnation = Incarnation { 1 },
                                        .sequence = 5,
                                        .slots = 8,
                                        .connections = 64 };
    grantor.endpointAnnounced(now, announcement, &commands);
    const TableIndex row = grantor.tables().findEndpoint(announcement.endpoint);
    CHECK(grantor.tables().endpoint(row).usable);
    announcement.leaving = true;
    announcement.sequence = 6;
    grantor.endpointAnnounced(now, announcement, &commands);
    CHECK_FALSE(grantor.tables().endpoint(row).usable);
    announcement.leaving = false;
    announcement.sequence = 9;
    grantor.endpointAnnounced(now, announcement, &commands);
    CHECK_FALSE(grantor.tables().endpoint(row).usable);
    announcement.incarnation = Incarnation { 2 };
    announcement.sequence = 1;
    grantor.endpointAnnounced(now, announcement, &commands);
    CHECK(grantor.tables().endpoint(row).usable);
}

} // namespace acaciafork::routing::fake
