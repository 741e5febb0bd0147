#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>

#include "acaciafork/core/Core.h"

using namespace acaciafork;

namespace {

/// Settings of a made-up role, one member of each type.
struct SampleSettings
{
    std::int64_t slots = 8;
    Duration timeout = std::chrono::milliseconds(100);
    bool guards = false;
    std::string zone;
    std::vector<std::string> peers;
};

using Field = SettingField<SampleSettings>;
const std::array sampleFields {
    Field { .section = "room",
            .key = "slots",
            .member = &SampleSettings::slots,
            .least = 1,
            .most = 64 },
    Field { .section = "room",
            .key = "timeout-ms",
            .member = &SampleSettings::timeout,
            .most = 1000 },
    Field { .section = "room", .key = "guards", .member = &SampleSettings::guards },
    Field { .section = "process",
            .key = "zone",
            .member = &SampleSettings::zone,
            .required = true },
    Field { .section = "process", .key = "peers", .member = &SampleSettings::peers },
};

/// Reads INI text; the problems found go into `problems`.
SampleSettings readSample(std::string_view text, std::vector<SettingsProblem> *problems)
{
    SampleSettings settings;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(sections, parseIni(text, "sample.ini"));
                return readSettings<SampleSettings>(sections, "sample.ini", sampleFields,
                                                    &settings);
            },
            [&](const SettingsProblems &all) { *problems = all.problems; },
            [] { FAIL("untyped failure"); });
    return settings;
}

} // namespace

TEST_CASE("settings are read by their table")
{
    std::vector<SettingsProblem> problems;
    const SampleSettings settings = readSample(
            "[room]\nslots=16\ntimeout-ms=250\nguards=true\n[process]\nzone=a\npeers=x:1, y:2\n",
            &problems);
    CHECK(problems.empty());
    CHECK(settings.slots == 16);
    CHECK(settings.timeout == std::chrono::milliseconds(250));
    CHECK(settings.guards);
    CHECK(settings.peers == std::vector<std::string> { "x:1", "y:2" });
}

TEST_CASE("every problem of a settings file is reported at once")
{
    std::vector<SettingsProblem> problems;
    readSample("[room]\nslots=65\nguards=yes\nsluts=3\n", &problems);
    REQUIRE(problems.size() == 4);
    CHECK(problems[0].key == "slots");
    CHECK(problems[0].found == "65");
    CHECK(problems[0].allowed == "a whole number from 1 to 64");
    CHECK(problems[1].key == "guards");
    CHECK(problems[2].key == "zone");
    CHECK(problems[3].allowed == "no such key");
}

TEST_CASE("malformed INI names its line")
{
    std::vector<SettingsProblem> problems;
    readSample("[room]\nslots\n", &problems);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].section == "line 2");
}

TEST_CASE("hybrid time orders cause before effect when clocks disagree")
{
    HybridClock ahead;
    HybridClock behind;
    const HybridTime sent = ahead.next(5000);
    behind.observe(sent, 1000);
    CHECK(behind.next(1001) > sent);
    const HybridTime first = ahead.next(4000);
    CHECK(ahead.next(4000) > first);
}

TEST_CASE("the time line keeps the latest events")
{
    Timeline timeline(ProcessId { 1 }, 2);
    timeline.record(1, EventKind::ProcessStarted, "");
    timeline.record(2, EventKind::LeaderElected, "1");
    timeline.record(3, EventKind::LeaderLost, "1");
    const auto events = timeline.events();
    REQUIRE(events.size() == 2);
    CHECK(events[0].kind == EventKind::LeaderElected);
    CHECK(events[1].kind == EventKind::LeaderLost);
    CHECK(timeline.dropped() == 1);
}

TEST_CASE("counters print as Prometheus text")
{
    CounterRegistry registry;
    registry.counter("requests_total{outcome=\"answered\"}").add(2);
    registry.counter("requests_total{outcome=\"not-run\"}").add();
    registry.counter("queue", MetricKind::Gauge).set(7);
    CHECK(registry.prometheusText()
          == "# TYPE acaciafork_requests_total counter\n"
             "acaciafork_requests_total{outcome=\"answered\"} 2\n"
             "acaciafork_requests_total{outcome=\"not-run\"} 1\n"
             "# TYPE acaciafork_queue gauge\nacaciafork_queue 7\n");
}

TEST_CASE("every failure kind has a name, a status and an exit code")
{
    for (int i = 0; i <= static_cast<int>(FailureKind::Internal); ++i) {
        const auto kind = static_cast<FailureKind>(i);
        CHECK(!failureKindName(kind).empty());
        CHECK(httpStatus(kind) >= 400);
        CHECK(exitCode(kind) > 0);
    }
}
