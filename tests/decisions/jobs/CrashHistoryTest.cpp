#include <doctest/doctest.h>

#include "acaciafork/decisions/jobs/Jobs.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

/// Blame of a crash that hardly ever happens by itself.
const std::uint32_t unlikely = CrashHistory::blameOf(0.001);

CrashExposure crashOf(std::uint64_t run, const std::string &worker, std::uint32_t blame)
{
    return { .run = { run }, .worker = { worker }, .hasCrashed = true, .blame = blame };
}

/// Crash of a worker that no other crash is of.
CrashExposure crashOf(std::uint64_t run, std::uint32_t blame)
{
    return crashOf(run, "w" + std::to_string(run), blame);
}

} // namespace

TEST_CASE("crashes beside other tasks convict no task, however many they are")
{
    const CrashSettings settings;
    CrashHistory history;
    CHECK_FALSE(history.isSuspect());
    for (std::uint64_t run = 1; run <= 20; ++run)
        history.open(crashOf(run, 0));
    CHECK(history.isSuspect());
    CHECK_FALSE(history.isConvicted(settings));
}

TEST_CASE("two crashes in trials convict a task, unless it survives a trial between them")
{
    const CrashSettings settings;
    CrashHistory history;
    history.open(crashOf(1, 0));
    history.open(crashOf(2, unlikely));
    CHECK_FALSE(history.isConvicted(settings));
    CrashHistory survivor = history;
    survivor.open({ .run = { 3 }, .worker = { "w" }, .isTrial = true });
    survivor.survive({ 3 });
    survivor.open(crashOf(4, unlikely));
    CHECK_FALSE(survivor.isConvicted(settings));
    history.open(crashOf(3, unlikely));
    CHECK(history.isConvicted(settings));
}

TEST_CASE("crashes of one worker in trials are not taken for crashes of several")
{
    const CrashSettings settings;
    for (const std::uint32_t blame : { unlikely, CrashHistory::blameOf(0) }) {
        CrashHistory history;
        history.open(crashOf(1, "w", 0));
        for (std::uint64_t run = 2; run <= 4; ++run)
            history.open(crashOf(run, "w", blame));
        CHECK_FALSE(history.isConvicted(settings));
        // A crash of another worker is further evidence.
        CrashHistory other = history;
        other.open(crashOf(5, "other", unlikely));
        CHECK(other.isConvicted(settings));
        // The only worker of a pool is not crashed for ever.
        history.open(crashOf(5, "w", blame));
        CHECK(history.isConvicted(settings));
    }
}

TEST_CASE("trials get longer with each crash, up to a limit")
{
    const CrashSettings settings;
    CrashHistory history;
    history.open(crashOf(1, 0));
    CHECK(history.trialLength(settings) == settings.trialLength);
    history.open(crashOf(2, 0));
    CHECK(history.trialLength(settings) == settings.trialLength * settings.trialGrowth);
    for (std::uint64_t run = 3; run < 100; ++run)
        history.open(crashOf(run, 0));
    CHECK(history.trialLength(settings) == settings.maxTrialLength);
}

TEST_CASE("where workers crash often, a crash during a trial says little")
{
    CrashRate rate;
    rate.reset(timestampFromMicroseconds(0));
    CHECK(rate.probability(std::chrono::seconds(60)) == doctest::Approx(0.1));
    for (std::int64_t second = 1; second <= 60; ++second) {
        rate.advance(timestampFromMicroseconds(second * 1'000'000), 10);
        rate.add(1);
    }
    CHECK(rate.probability(std::chrono::seconds(1)) > 0.05);
    for (std::int64_t second = 61; second <= 600; ++second)
        rate.advance(timestampFromMicroseconds(second * 1'000'000), 10);
    CHECK(rate.probability(std::chrono::seconds(1)) < 0.001);
    CHECK(CrashHistory::blameOf(0.05) < unlikely);
}
