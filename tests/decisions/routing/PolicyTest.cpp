#include <doctest/doctest.h>

#include "tests/decisions/routing/EntryFixture.h"

namespace acaciafork::routing::fake {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t shortRoute = 1;
constexpr std::uint64_t longRoute = 2;

RequestInfo requestOf(EntryFixture *entry, std::uint64_t route)
{
    RequestInfo info = entry->request();
    info.routeHash = route;
    info.deadline = entry->now + seconds(600);
    return info;
}

/// Serves requests of a route one by one, each taking the time given.
void trainEstimator(EntryFixture *entry, std::uint64_t route, Duration work, int count = 20)
{
    for (int it = 0; it < count; ++it) {
        const auto attempt = entry->arrive(requestOf(entry, route));
        REQUIRE(attempt);
        entry->now += work;
        entry->end(attempt->attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    }
}

} // namespace

TEST_CASE("long work leaves slots for short work, by what was learned of the routes")
{
    EntryFixture entry;
    trainEstimator(&entry, shortRoute, milliseconds(20));
    trainEstimator(&entry, longRoute, seconds(5));
    int started = 0;
    for (int it = 0; it < 4; ++it)
        started += entry.arrive(requestOf(&entry, longRoute)) ? 1 : 0;
    // A quarter of four slots is one.
    CHECK(started == 3);
    CHECK(entry.arrive(requestOf(&entry, shortRoute)));
}

TEST_CASE("short work that runs for long counts as long")
{
    EntryFixture entry;
    trainEstimator(&entry, shortRoute, milliseconds(20));
    trainEstimator(&entry, longRoute, seconds(5));
    for (int it = 0; it < 3; ++it)
        REQUIRE(entry.arrive(requestOf(&entry, shortRoute)));
    entry.advance(seconds(1));
    // The three were short by their route and are stragglers now.
    CHECK_FALSE(entry.arrive(requestOf(&entry, longRoute)));
    CHECK(entry.arrive(requestOf(&entry, shortRoute)));
}

TEST_CASE("the route that attained the least goes first, and none waits for ever")
{
    ServiceSettings settings;
    settings.shortSlotsPercent = 0;
    EntryFixture entry(settings);
    constexpr std::uint64_t busyRoute = 3;
    constexpr std::uint64_t quietRoute = 4;
    trainEstimator(&entry, busyRoute, milliseconds(200), 100);

    std::vector<StartAttempt> running;
    running.reserve(4);
    for (int it = 0; it < 4; ++it)
        running.push_back(*entry.arrive(requestOf(&entry, busyRoute)));
    const RequestInfo busy = requestOf(&entry, busyRoute);
    entry.arrive(busy);
    entry.now += milliseconds(5);
    const RequestInfo quiet = requestOf(&entry, quietRoute);
    entry.arrive(quiet);
    entry.end(running[0].attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    REQUIRE(entry.sent<StartAttempt>());
    CHECK(entry.sent<StartAttempt>()->request == quiet.request);

    // Requests of the quiet route that come much later stand behind it.
    entry.now += settings.maxAttainedDelay;
    entry.arrive(requestOf(&entry, quietRoute));
    entry.end(running[1].attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    REQUIRE(entry.sent<StartAttempt>());
    CHECK(entry.sent<StartAttempt>()->request == busy.request);
}

TEST_CASE("in lasting overload the newest request is served first and the rest is told at once")
{
    EntryFixture entry;
    trainEstimator(&entry, shortRoute, milliseconds(100));
    std::vector<StartAttempt> running;
    while (auto it = entry.arrive(requestOf(&entry, shortRoute)))
        running.push_back(*it);
    // The queue stands for longer than a crest; nobody in it is kept until the deadline.
    entry.advance(seconds(6));
    CHECK(entry.sent<AnswerNotRun>());
    CHECK(entry.scheduler.requestsInProgress() == running.size());
}

TEST_CASE("the entry's own zone goes first, the others when it is full")
{
    EntryFixture entry;
    CreditGrant grant = entry.emptyGrant();
    grant.grants.push_back(EndpointGrant { .endpoint = EndpointName { "far" },
                                           .service = ServiceName { "loopdraw" },
                                           .address = "127.0.0.1:1",
                                           .zone = ZoneName { "zone-b" },
                                           .rack = RackName { "far rack" },
                                           .incarnation = Incarnation { 1 },
                                           .grantNumber = 100,
                                           .slots = 8,
                                           .connections = 16 });
    entry.scheduler.grantReceived(entry.now, grant, &entry.commands);
    for (int it = 0; it < 4; ++it)
        CHECK(entry.arrive(entry.request())->endpoint != "far");
    CHECK(entry.arrive(entry.request())->endpoint == "far");
}

TEST_CASE("of two endpoints the one with less expected work is taken, a new one later")
{
    EntryFixture entry;
    trainEstimator(&entry, longRoute, seconds(1));
    // Both are past their slow start: the second request goes where the first is not.
    int atDifferentEndpoints = 0;
    for (int it = 0; it < 20; ++it) {
        const StartAttempt a = *entry.arrive(requestOf(&entry, longRoute));
        const StartAttempt b = *entry.arrive(requestOf(&entry, longRoute));
        atDifferentEndpoints += a.endpoint != b.endpoint ? 1 : 0;
        entry.end(a.attempt, AttemptPhase::Body, AttemptOutcome::Ok);
        entry.end(b.attempt, AttemptPhase::Body, AttemptOutcome::Ok);
        entry.now += seconds(1);
    }
    // Two draws miss the other endpoint a quarter of the time.
    CHECK(atDifferentEndpoints >= 12);

    entry.grant("endpoint-2", 2);
    int atNewEndpoint = 0;
    for (int it = 0; it < 40; ++it) {
        const StartAttempt a = *entry.arrive(requestOf(&entry, longRoute));
        atNewEndpoint += a.endpoint == "endpoint-2" ? 1 : 0;
        entry.end(a.attempt, AttemptPhase::Body, AttemptOutcome::Ok);
    }
    // It is drawn in both draws a ninth of the time, and otherwise loses.
    CHECK(atNewEndpoint <= 10);
}

} // namespace acaciafork::routing::fake
