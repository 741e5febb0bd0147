#include <doctest/doctest.h>

#include <map>

#include "tests/decisions/routing/SimulatedCluster.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;
constexpr int scenarioSeconds = 20;
/// Scenarios in a run; CI runs them all, in one program of some seconds.
constexpr std::uint64_t scenarioCount = 2000;
/// Scenarios within which a broken variant must be caught.
constexpr std::uint64_t defectScenarioCount = 400;

/// A world of short leases and flights, so that a scenario holds many of them.
ClusterOptions optionsOf(std::uint64_t seed)
{
    RandomGenerator generator(seed);
    ClusterOptions options;
    options.seed = seed;
    options.entries = 2 + static_cast<int>(generator() % 3);
    options.endpoints = 1 + static_cast<int>(generator() % 4);
    options.zones = 1 + static_cast<int>(generator() % 2);
    options.slots = 1 + static_cast<std::uint32_t>(generator() % 4);
    options.connections = options.slots * (1 + static_cast<std::uint32_t>(generator() % 4));
    options.lostPercent = static_cast<int>(generator() % 30);
    options.duplicatedPercent = static_cast<int>(generator() % 30);
    options.maxMessageDelay = std::chrono::milliseconds(generator() % 600);
    options.maxAttemptDelay = std::chrono::milliseconds(generator() % 80);
    options.announceInterval = std::chrono::milliseconds(200);
    options.skewedClocks = generator() % 2 == 0;
    options.listsAttempts = generator() % 2 == 0;
    options.credit.lease = std::chrono::milliseconds(1000);
    options.credit.maxNetworkDelay = std::chrono::milliseconds(100);
    options.maxAnnouncementDelay = std::chrono::milliseconds(90);
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

    Scenario(std::uint64_t seed, const ClusterOptions &options)
        : m_options(options)
        , m_generator(seed * 7919 + 1)
        , m_cluster(m_options)
    { }

    SimulatedCluster &cluster() { return m_cluster; }
    /// For a broken variant: new leaders that think that nobody holds anything.
    bool leadersAssumeNoHoldings = false;

    void run()
    {
        for (int it = 0; it < scenarioSeconds * 50; ++it)
            m_cluster.at(it * second / 50, [this] { load(); });
        for (int it = 1; it < scenarioSeconds * 2; ++it)
            m_cluster.at(it * second / 2 + 1, [this] { fault(); });
        m_cluster.runUntil(scenarioSeconds * second);
    }

private:
    int randomBelow(int bound)
    {
        return static_cast<int>(m_generator() % static_cast<unsigned>(bound));
    }

    void load()
    {
        for (int it = 0; it < 4; ++it) {
            const bool straggler = randomBelow(20) == 0;
            const bool idempotent = randomBelow(2) == 0;
            // Some callers send a request again, through any entry, under the same key.
            const bool again = randomBelow(4) == 0;
            m_lastKey += again ? 0 : 1;
            const std::size_t index = m_cluster.submit(SimulatedRequest {
                    .entry = randomBelow(m_options.entries),
                    .work = std::chrono::milliseconds(straggler ? randomBelow(3000)
                                                                : 1 + randomBelow(150)),
                    .route = static_cast<std::uint64_t>(randomBelow(3)),
                    .idempotent = idempotent,
                    .key = idempotent ? 0 : m_lastKey,
                    .timeout = std::chrono::milliseconds(50 + randomBelow(1500)) });
            if (randomBelow(20) == 0)
                m_cluster.at(m_cluster.now() + randomBelow(200'000),
                             [this, index] { disconnect(index); });
        }
    }

    void disconnect(std::size_t index)
    {
        if (m_cluster.records()[index].outcome == RequestOutcome::Open)
            m_cluster.disconnectCaller(index);
    }

    void fault()
    {
        const int entry = randomBelow(m_options.entries);
        const int endpoint = randomBelow(m_options.endpoints);
        const std::int64_t later = m_cluster.now() + randomBelow(3'000'000);
        switch (randomBelow(6)) {
        case 0:
            m_cluster.crashEntry(entry);
            m_cluster.at(later, [this, entry] { m_cluster.startEntry(entry); });
            return;
        case 1:
            m_cluster.loseLeader();
            m_cluster.at(later, [this] { m_cluster.changeLeader(!leadersAssumeNoHoldings); });
            return;
        case 2:
            m_cluster.restartEndpoint(endpoint, Duration(randomBelow(1'000'000)));
            return;
        case 3:
            m_cluster.setPartitioned(entry, true);
            m_cluster.at(later, [this, entry] { m_cluster.setPartitioned(entry, false); });
            return;
        default:
            return;
        }
    }

    ClusterOptions m_options;
    RandomGenerator m_generator;
    SimulatedCluster m_cluster;
    std::uint64_t m_lastKey = 1;
};

/// Runs scenarios of a broken variant until one shows an overshoot.
template <typename InjectDefect>
bool overshootFound(InjectDefect injectDefect)
{
    for (std::uint64_t seed = 1; seed <= defectScenarioCount; ++seed) {
        Scenario scenario(seed);
        injectDefect(&scenario);
        scenario.run();
        if (scenario.cluster().overshoots() > 0)
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
        REQUIRE(scenario.cluster().overshoots() == 0);
        REQUIRE(scenario.cluster().connectionOvershoots() == 0);
        int repeatedAnswers = 0;
        int repeatedRuns = 0;
        int falseNotRun = 0;
        std::map<std::uint64_t, int> runsOfKey;
        for (const RequestResult &it : scenario.cluster().records()) {
            answered += it.outcome == RequestOutcome::Answered ? 1 : 0;
            repeatedAnswers += it.answers > 1 ? 1 : 0;
            if (!it.request.idempotent)
                repeatedRuns += (runsOfKey[it.request.key] += it.runs) > 1 ? 1 : 0;
            falseNotRun += it.outcome == RequestOutcome::NotRun && it.runs > 0 ? 1 : 0;
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
    CHECK(overshootFound([](Scenario *it) {
        it->cluster().tamperGrant = [](CreditGrant *grant) { grant->lease *= 4; };
    }));
}

TEST_CASE("a timeout that frees the slot is caught")
{
    CHECK(overshootFound([](Scenario *it) { it->cluster().timeoutReleasesSlot = true; }));
}

TEST_CASE("a report without the requests in progress is caught")
{
    CHECK(overshootFound([](Scenario *it) {
        it->cluster().tamperReport = [](CreditReport *report) {
            for (CreditHolding &holding : report->holdings)
                holding.inUse = 0;
        };
    }));
}

TEST_CASE("a grant taken in again after slots were given back is caught")
{
    CHECK(overshootFound([](Scenario *it) {
        it->cluster().tamperGrant = [n = std::uint64_t { 0 }](CreditGrant *grant) mutable {
            for (EndpointGrant &endpointGrant : grant->grants)
                endpointGrant.grantNumber = ++n;
        };
    }));
}

TEST_CASE("evidence that does not wait for what is under way is caught")
{
    bool overshot = false;
    for (std::uint64_t seed = 1; seed <= defectScenarioCount && !overshot; ++seed) {
        ClusterOptions options = optionsOf(seed);
        options.credit.maxNetworkDelay = Duration::zero();
        Scenario scenario(seed, options);
        scenario.run();
        overshot = scenario.cluster().overshoots() > 0;
    }
    CHECK(overshot);
}

TEST_CASE("a leader that thinks that nobody holds anything is caught")
{
    CHECK(overshootFound([](Scenario *it) { it->leadersAssumeNoHoldings = true; }));
}

} // namespace acaciafork::routing::fake
