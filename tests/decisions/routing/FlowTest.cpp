#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/decisions/routing/SimulatedCluster.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;

} // namespace

TEST_CASE("a request flows from announcement and grant to its answer")
{
    SimulatedCluster world(ClusterOptions {});
    world.runUntil(10 * second);
    const std::size_t request = world.submit(SimulatedRequest {});
    world.runUntil(11 * second);
    CHECK(world.records()[request].outcome == RequestOutcome::Answered);
    CHECK(world.records()[request].runs == 1);
    CHECK(world.overshoots() == 0);
}

TEST_CASE("a time that is surely over is over on the slowest clock as counted on the fastest")
{
    for (const std::int64_t us : { 1000, 1'000'000, 6'000'000 }) {
        const Duration time(us);
        constexpr int all = 100;
        CHECK(withClockSkewMargin(time).count() * (all - clockRateSkewPercent)
              >= time.count() * (all + clockRateSkewPercent));
    }
}

TEST_CASE("requests beyond the room are refused at once or wait, never overshoot")
{
    SimulatedCluster world(ClusterOptions {});
    world.runUntil(10 * second);
    for (int it = 0; it < 60; ++it)
        world.submit(SimulatedRequest { .entry = it % 3, .work = std::chrono::milliseconds(400) });
    world.runUntil(20 * second);
    int answered = 0;
    for (const RequestResult &it : world.records()) {
        CHECK(it.outcome != RequestOutcome::Open);
        CHECK(it.outcome != RequestOutcome::Unknown);
        answered += it.outcome == RequestOutcome::Answered ? 1 : 0;
    }
    CHECK(answered >= 8);
    CHECK(world.overshoots() == 0);
    CHECK(world.connectionOvershoots() == 0);
}

} // namespace acaciafork::routing::fake
