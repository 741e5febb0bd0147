#include <doctest/doctest.h>

#include <algorithm>
#include <array>

#include "tests/decisions/routing/FakeWorld.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;

/// Puts a request of 20 ms at each entry in turn, every millisecond.
void loadSteadily(FakeWorld *world, int entries, std::int64_t from, std::int64_t to)
{
    constexpr std::int64_t interval = 1000;
    for (std::int64_t it = from; it < to; it += interval) {
        const int entry = static_cast<int>(it / interval % entries);
        world->at(it, [world, entry] {
            world->put(WorldRequest { .entry = entry, .work = std::chrono::milliseconds(20) });
        });
    }
}

int countOf(const FakeWorld &world, WorldEnd outcome)
{
    int count = 0;
    for (const WorldRecord &it : world.records())
        count += it.outcome == outcome ? 1 : 0;
    return count;
}

/// Slots charged, or unknown, of all endpoints.
std::uint32_t chargedSlots(const FakeWorld &world)
{
    std::uint32_t sum = 0;
    for (const auto &[name, row] : world.grantor().tables().endpointRows()) {
        const GrantorEndpoint &it = world.grantor().tables().endpoint(row);
        sum += it.chargedSlots + it.unknownSlots;
    }
    return sum;
}

} // namespace

TEST_CASE("a leaving endpoint gets nothing new within two seconds without a control leader")
{
    WorldOptions options { .entries = 7, .endpoints = 6, .slots = 8, .connections = 64 };
    options.lostPercent = 10;
    FakeWorld world(options);
    loadSteadily(&world, options.entries, 10 * second, 20 * second);
    world.at(13 * second, [&] { world.loseLeader(); });
    world.at(14 * second, [&] { world.leaveEndpoint(2); });
    world.runUntil(25 * second);
    CHECK(world.startsAt(2) > 0);
    // It announces once a second that it leaves; the word then takes a hop or two.
    CHECK(world.lastStartAt(2) < 16 * second);
    CHECK(world.lastStartAt(1) > 17 * second);
    CHECK(world.overshoots() == 0);
}

TEST_CASE("requests go on while a new leader is found")
{
    WorldOptions options { .entries = 4, .endpoints = 4, .slots = 8, .connections = 64 };
    FakeWorld world(options);
    loadSteadily(&world, options.entries, 10 * second, 25 * second);
    world.at(14 * second, [&] { world.loseLeader(); });
    world.at(17 * second, [&] { world.changeLeader(); });
    world.runUntil(30 * second);
    CHECK(countOf(world, WorldEnd::Answered) == static_cast<int>(world.records().size()));
    CHECK(world.overshoots() == 0);
}

TEST_CASE("a new leader grants nothing that an entry may hold that has not reported")
{
    WorldOptions options { .entries = 2, .endpoints = 1, .slots = 4, .connections = 32 };
    FakeWorld world(options);
    loadSteadily(&world, options.entries, 10 * second, 40 * second);
    world.at(14 * second, [&] { world.cutEntry(1, true); });
    world.at(15 * second, [&] { world.changeLeader(); });
    // Until the lease of the entry that is cut off is over its part stays unknown.
    world.runUntil(20 * second);
    const auto &tables = world.grantor().tables();
    const TableIndex row = tables.findEndpoint(EndpointName { "endpoint-0" });
    CHECK(tables.endpoint(row).unknownSlots > 0);
    CHECK(chargedSlots(world) <= 4);
    world.runUntil(40 * second);
    CHECK(tables.endpoint(row).unknownSlots == 0);
    CHECK(world.overshoots() == 0);
}

TEST_CASE("credit of a lost entry is quarantined until an announcement proves it free")
{
    WorldOptions options { .entries = 2, .endpoints = 1, .slots = 4, .connections = 32 };
    FakeWorld world(options);
    world.runUntil(10 * second);
    // Both slots of the entry are at work for long when it dies.
    for (int it = 0; it < 2; ++it)
        world.put(WorldRequest { .entry = 1, .work = std::chrono::seconds(30) });
    world.runUntil(11 * second);
    world.crashEntry(1);
    loadSteadily(&world, 1, 12 * second, 60 * second);
    world.runUntil(35 * second);
    const auto &tables = world.grantor().tables();
    const TableIndex row = tables.findEndpoint(EndpointName { "endpoint-0" });
    const TableIndex lost = tables.findSession(ProcessId { 2 }, Incarnation { 1 });
    REQUIRE(lost != noIndex);
    CHECK(tables.session(lost).holdings.at(row).chargedSlots() == 2);
    world.runUntil(45 * second);
    CHECK(tables.session(lost).holdings.at(row).chargedSlots() == 0);
    CHECK(world.overshoots() == 0);
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
            CHECK(endpoint.unknownSlots == 8);
        if (it >= 30)
            CHECK(endpoint.unknownSlots == 0);
    }
}

TEST_CASE("grants follow demand")
{
    WorldOptions options { .entries = 4, .endpoints = 4, .slots = 8, .connections = 64 };
    FakeWorld world(options);
    world.runUntil(10 * second);
    // Only the first entry has work, more than its even part of the slots.
    for (std::int64_t it = 0; it < 2000; ++it) {
        world.at(10 * second + it * 5000, [&] {
            world.put(WorldRequest { .entry = 0, .work = std::chrono::milliseconds(100) });
        });
    }
    world.runUntil(25 * second);
    CHECK(countOf(world, WorldEnd::Answered) >= 1990);
    CHECK(world.overshoots() == 0);
}

TEST_CASE("an aperture bounds the endpoints that an entry reaches, never what it can hold")
{
    for (const std::uint32_t aperture : { 4U, 0U }) {
        WorldOptions options { .entries = 2, .endpoints = 40, .slots = 8, .connections = 64 };
        options.service.aperture = aperture;
        FakeWorld world(options);
        loadSteadily(&world, 1, 10 * second, 20 * second);
        // Half of all slots goes to the entry that has nothing to do.
        world.runUntil(20 * second);
        const auto &tables = world.grantor().tables();
        const TableIndex session = tables.findSession(ProcessId { 1 }, Incarnation { 1 });
        const SessionDemand &demand = tables.session(session).demands.at(0);
        CHECK(demand.granted >= 150);
        CHECK(demand.endpoints == (aperture == 0 ? 40 : std::min(40U, 2 * demand.target / 8)));
        CHECK(world.overshoots() == 0);
    }
}

TEST_CASE("messages of an idle system do not grow with its endpoints")
{
    for (const int endpoints : { 4, 64 }) {
        WorldOptions options {
            .entries = 4, .endpoints = endpoints, .slots = 8, .connections = 64
        };
        options.announceInterval = std::chrono::seconds(3);
        FakeWorld world(options);
        world.runUntil(30 * second);
        const std::int64_t before = world.controlMessages();
        world.runUntil(60 * second);
        // Announcements apart, heartbeats and their answers are all there is.
        const std::int64_t announcements = 10 * std::int64_t { endpoints };
        CHECK(world.controlMessages() - before - announcements <= 4 * 2 * 31);
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
