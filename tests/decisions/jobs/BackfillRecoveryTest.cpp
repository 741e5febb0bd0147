#include <doctest/doctest.h>

#include "tests/decisions/jobs/ColocationFleet.h"

using namespace acaciafork;
using namespace acaciafork::jobs;
using namespace std::chrono_literals;

namespace {

const JobSchedulerSettings siteSettings { .promptTakeOver = true,
                                          .lookAhead = true,
                                          .learnDurations = true };

} // namespace

TEST_CASE("with room for a task twice over no backfill job is without a run for 3 s")
{
    for (const double burst : { 1.5, 3.0 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            CAPTURE(burst);
            CAPTURE(seed);
            const ColocationResult result =
                    ColocationFleet(
                            siteSettings, seed,
                            { .burst = burst, .after = 0, .length = 65s, .servingShareAfter = 0.4 })
                            .run();
            CAPTURE(result.longestStandstill / 1ms);
            REQUIRE(result.timeWithRoom > 3s);
            CHECK(result.longestJobWait / 1ms <= 3000);
        }
    }
}

TEST_CASE("backfill recovers after a burst")
{
    // The usual load uses less than half of the processor time that serving and short tasks leave.
    for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
        CAPTURE(seed);
        const ColocationResult result = ColocationFleet(siteSettings, seed, {}).run();
        CAPTURE(result.arrivedPerSecond);
        REQUIRE(result.arrivedPerSecond > 0);
        CHECK(result.donePerSecond / result.arrivedPerSecond >= 0.9);
        CHECK(result.pacedShare < 0.1);
    }
}

TEST_CASE("suspected backfill tasks keep up with room")
{
    constexpr std::size_t workers = 48;
    for (const std::size_t crashes : { 12, 24, 40 }) {
        // Seeds with suspected tasks of each kind.
        for (const std::uint64_t seed : { 2, 3 }) {
            CAPTURE(crashes);
            CAPTURE(seed);
            // Serving tasks that have begun before the load are suspected, too.
            const ColocationResult result = ColocationFleet(siteSettings, seed,
                                                            { .burst = 0.75,
                                                              .after = 0.3,
                                                              .burstLength = 2s,
                                                              .length = 15s,
                                                              .servingShare = 0.25,
                                                              .crashes = crashes })
                                                    .run();
            REQUIRE(result.hadRoomForAll);
            std::size_t suspects = 0;
            for (const std::size_t it : result.suspects) {
                REQUIRE(it > 0);
                suspects += it;
            }
            // Each worker has the trials of one step at a time.
            const Duration trials =
                    (suspects / workers + 1) * Duration(CrashSettings {}.trialLength);
            for (const Duration it : result.suspectWaits)
                CHECK(it / 1ms <= (3s + trials) / 1ms);
        }
    }
}
