#include <doctest/doctest.h>

#include <map>

#include "tests/decisions/routing/FakeWorld.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;
constexpr int scenarioSeconds = 20;
/// Scenarios in a run; CI runs them all, in one program of some seconds.
constexpr std::uint64_t scenarioCount = 2000;
/// Scenarios within which a broken variant must be caught.
constexpr std::uint64_t brokenScenarioCount = 400;

/// A world of short leases and flights, so that a scenario holds many of them.
WorldOptions optionsOf(std::uint64_t seed)
{
    RandomGenerator draw(seed);
    WorldOptions options;
    options.seed = seed;
    options.entries = 2 + static_cast<int>(draw() % 3);
    options.endpoints = 1 + static_cast<int>(draw() % 4);
    options.zones = 1 + static_cast<int>(draw() % 2);
    options.slots = 1 + static_cast<std::uint32_t>(draw() % 4);
    options.connections = options.slots * (1 + static_cast<std::uint32_t>(draw() % 4));
    options.lostPercent = static_cast<int>(draw() % 30);
    options.repeatedPercent = static_cast<int>(draw() % 30);
    options.lateness = std::chrono::milliseconds(draw() % 600);
    options.attemptLateness = std::chrono::milliseconds(draw() % 80);
    options.announceInterval = std::chrono::milliseconds(200);
    options.skewedClocks = draw() % 2 == 0;
    options.listsAttempts = draw() % 2 == 0;
    options.credit.lease = std::chrono::milliseconds(1000);
    options.credit.flightBound = std::chrono::milliseconds(100);
    options.announcementLateness = std::chrono::milliseconds(90);
    options.credit.heartbeatInterval = std::chrono::milliseconds(200);
    options.credit.announcementTimeout = std::chrono::milliseconds(1500);
    options.credit.halfOpenTimeout = std::chrono::seconds(3);
    options.service.ejectionTime = std::chrono::milliseconds(300);
    options.service.slowStart = std::chrono::milliseconds(300);
    return options;
}

/// Draws load and faults of one kind after the other over the scenario.
class Scenario
{
public:
    explicit Scenario(std::uint64_t seed)
        : Scenario(seed, optionsOf(seed))
    { }

    Scenario(std::uint64_t seed, const WorldOptions &options)
        : m_options(options)
        , m_draw(seed * 7919 + 1)
        , m_world(m_options)
    { }

    FakeWorld &world() { return m_world; }
    /// For a broken variant: new leaders that think that nobody holds anything.
    bool forgetfulLeaders = false;

    void run()
    {
        for (int it = 0; it < scenarioSeconds * 50; ++it)
            m_world.at(it * second / 50, [this] { load(); });
        for (int it = 1; it < scenarioSeconds * 2; ++it)
            m_world.at(it * second / 2 + 1, [this] { fault(); });
        m_world.runUntil(scenarioSeconds * second);
    }

private:
    int below(int bound) { return static_cast<int>(m_draw() % static_cast<unsigned>(bound)); }

    void load()
    {
        for (int it = 0; it < 4; ++it) {
            const bool straggler = below(20) == 0;
            const bool idempotent = below(2) == 0;
            // Some callers send a request again, through any entry, under the same key.
            const bool again = below(4) == 0;
            m_lastKey += again ? 0 : 1;
            const std::size_t index = m_world.put(WorldRequest {
                    .entry = below(m_options.entries),
                    .work = std::chrono::milliseconds(straggler ? below(3000) : 1 + below(150)),
                    .route = static_cast<std::uint64_t>(below(3)),
                    .idempotent = idempotent,
                    .key = idempotent ? 0 : m_lastKey,
                    .timeout = std::chrono::milliseconds(50 + below(1500)) });
            if (below(20) == 0)
                m_world.at(m_world.now() + below(200'000), [this, index] { leave(index); });
        }
    }

    void leave(std::size_t index)
    {
        if (m_world.records()[index].outcome == WorldEnd::Open)
            m_world.leaveCaller(index);
    }

    void fault()
    {
        const int entry = below(m_options.entries);
        const int endpoint = below(m_options.endpoints);
        const std::int64_t later = m_world.now() + below(3'000'000);
        switch (below(6)) {
        case 0:
            m_world.crashEntry(entry);
            m_world.at(later, [this, entry] { m_world.startEntry(entry); });
            return;
        case 1:
            m_world.loseLeader();
            m_world.at(later, [this] { m_world.changeLeader(!forgetfulLeaders); });
            return;
        case 2:
            m_world.restartEndpoint(endpoint, Duration(below(1'000'000)));
            return;
        case 3:
            m_world.cutEntry(entry, true);
            m_world.at(later, [this, entry] { m_world.cutEntry(entry, false); });
            return;
        default:
            return;
        }
    }

    WorldOptions m_options;
    RandomGenerator m_draw;
    FakeWorld m_world;
    std::uint64_t m_lastKey = 1;
};

/// Runs scenarios of a broken variant until one shows an overshoot.
template <typename Break>
bool caught(Break breakIt)
{
    for (std::uint64_t seed = 1; seed <= brokenScenarioCount; ++seed) {
        Scenario scenario(seed);
        breakIt(&scenario);
        scenario.run();
        if (scenario.world().overshoots() > 0)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("no endpoint is over its slots or connections in any sequence of events")
{
    std::size_t answered = 0;
    for (std::uint64_t seed = 1; seed <= scenarioCount; ++seed) {
        Scenario scenario(seed);
        scenario.run();
        CAPTURE(seed);
        REQUIRE(scenario.world().overshoots() == 0);
        REQUIRE(scenario.world().connectionOvershoots() == 0);
        int repeatedAnswers = 0;
        int repeatedRuns = 0;
        int falseNotRun = 0;
        std::map<std::uint64_t, int> runsOfKey;
        for (const WorldRecord &it : scenario.world().records()) {
            answered += it.outcome == WorldEnd::Answered ? 1 : 0;
            repeatedAnswers += it.answers > 1 ? 1 : 0;
            if (!it.request.idempotent)
                repeatedRuns += (runsOfKey[it.request.key] += it.runs) > 1 ? 1 : 0;
            falseNotRun += it.outcome == WorldEnd::NotRun && it.runs > 0 ? 1 : 0;
        }
        REQUIRE(repeatedAnswers == 0);
        REQUIRE(repeatedRuns == 0);
        REQUIRE(falseNotRun == 0);
    }
    // The scenarios are of use only if work gets through.
    CHECK(answered > scenarioCount * 100);
}

TEST_CASE("a lease that outlives what the grantor counts on is caught")
{
    CHECK(caught([](Scenario *it) {
        it->world().tamperGrant = [](CreditGrant *grant) { grant->lease *= 4; };
    }));
}

TEST_CASE("a timeout that frees the slot is caught")
{
    CHECK(caught([](Scenario *it) { it->world().timeoutFrees = true; }));
}

TEST_CASE("a report without the requests in progress is caught")
{
    CHECK(caught([](Scenario *it) {
        it->world().tamperReport = [](CreditReport *report) {
            for (CreditHolding &holding : report->holdings)
                holding.inUse = 0;
        };
    }));
}

TEST_CASE("a grant taken in again after slots were given back is caught")
{
    CHECK(caught([](Scenario *it) {
        it->world().tamperGrant = [n = std::uint64_t { 0 }](CreditGrant *grant) mutable {
            for (EndpointGrant &line : grant->grants)
                line.grantNumber = ++n;
        };
    }));
}

TEST_CASE("evidence that does not wait for what is under way is caught")
{
    bool overshot = false;
    for (std::uint64_t seed = 1; seed <= brokenScenarioCount && !overshot; ++seed) {
        WorldOptions options = optionsOf(seed);
        options.credit.flightBound = Duration::zero();
        Scenario scenario(seed, options);
        scenario.run();
        overshot = scenario.world().overshoots() > 0;
    }
    CHECK(overshot);
}

TEST_CASE("a leader that thinks that nobody holds anything is caught")
{
    CHECK(caught([](Scenario *it) { it->forgetfulLeaders = true; }));
}

} // namespace acaciafork::routing::fake
