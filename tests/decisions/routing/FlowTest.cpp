#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/decisions/routing/SimulatedCluster.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;

} // namespace

TEST_CASE("an announced endpoint is granted to an entry and answers a request")
{
    SimulatedCluster cluster(ClusterOptions {});
    cluster.runUntil(10 * second);
    const std::size_t request = cluster.submit(SimulatedRequest {});
    cluster.runUntil(11 * second);
    CHECK(cluster.records()[request].outcome == RequestOutcome::Answered);
    CHECK(cluster.records()[request].runs == 1);
    CHECK(cluster.overshoots() == 0);
}

TEST_CASE("a wait with the clock skew margin on the fastest clock covers the time on the slowest")
{
    for (const std::int64_t us : { 1000, 1'000'000, 6'000'000 }) {
        const Duration time(us);
        constexpr int hundredPercent = 100;
        CHECK(withClockSkewMargin(time).count() * (hundredPercent - clockRateSkewPercent)
              >= time.count() * (hundredPercent + clockRateSkewPercent));
    }
}

TEST_CASE("requests beyond capacity are queued or refused and never overload an endpoint")
{
    SimulatedCluster cluster(ClusterOptions {});
    cluster.runUntil(10 * second);
    for (int it = 0; it < 60; ++it)
        cluster.submit(
                SimulatedRequest { .entry = it % 3, .work = std::chrono::milliseconds(400) });
    cluster.runUntil(20 * second);
    int answered = 0;
    for (const RequestResult &it : cluster.records()) {
        CHECK(it.outcome != RequestOutcome::Open);
        CHECK(it.outcome != RequestOutcome::Unknown);
        answered += it.outcome == RequestOutcome::Answered ? 1 : 0;
    }
    CHECK(answered >= 8);
    CHECK(cluster.overshoots() == 0);
    CHECK(cluster.connectionOvershoots() == 0);
}

} // namespace acaciafork::routing::fake
