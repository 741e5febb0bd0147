#include <map>

#include <doctest/doctest.h>

#include "acaciafork/decisions/jobs/Jobs.h"

using namespace acaciafork;
using namespace acaciafork::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp start = timestampFromMicroseconds(10'000'000);
constexpr ProcessId self { 1 };

std::vector<RelayCandidate> fourZones(Timestamp answeredAt)
{
    std::vector<RelayCandidate> candidates;
    for (std::uint32_t it = 2; it <= 5; ++it)
        candidates.push_back({ .process = { it },
                               .zone = "zone-" + std::to_string(it),
                               .answeredAt = answeredAt });
    return candidates;
}

std::string nameOf(int worker)
{
    return "worker-" + std::to_string(worker);
}

} // namespace

TEST_CASE("a small fleet is served by the leader alone, and a few workers less change nothing")
{
    RelayTable relays({ .fromWorkers = 100 }, self, "zone-1");
    relays.update(start, fourZones(start), 99);
    CHECK(relays.relayOf("zone-3", "w") == self);
    relays.update(start, fourZones(start), 100);
    CHECK(relays.relayOf("zone-3", "w") == ProcessId { 3 });
    relays.update(start, fourZones(start), 80);
    CHECK(relays.relayOf("zone-3", "w") == ProcessId { 3 });
    relays.update(start, fourZones(start), 70);
    CHECK(relays.relayOf("zone-3", "w") == self);

    RelayTable never({ .fromWorkers = 0 }, self, "zone-1");
    never.update(start, fourZones(start), 100'000);
    CHECK(never.relayOf("zone-3", "w") == self);
}

TEST_CASE("a worker's relay is in its zone, and a silent member carries nothing")
{
    RelayTable relays({ .fromWorkers = 1 }, self, "zone-1");
    relays.update(start, fourZones(start), 10);
    CHECK(relays.relayOf("zone-1", "w") == self);
    CHECK(relays.relayOf("zone-4", "w") == ProcessId { 4 });
    relays.update(start + 701ms, fourZones(start), 10);
    CHECK(relays.relayOf("zone-4", "w") == self);
    CHECK_FALSE(relays.isLive({ 4 }));
    CHECK(relays.isLive(self));
}

TEST_CASE("workers of a zone without a member are spread, and only those of a lost one move")
{
    RelayTable relays({ .fromWorkers = 1 }, self, "zone-1");
    std::vector<RelayCandidate> candidates = fourZones(start);
    relays.update(start, candidates, 2000);
    std::map<ProcessId, int> counts;
    std::vector<ProcessId> before;
    for (int it = 0; it < 2000; ++it) {
        before.push_back(relays.relayOf("elsewhere", nameOf(it)));
        ++counts[before.back()];
    }
    REQUIRE(counts.size() == 5);
    for (const auto &[process, count] : counts)
        CHECK(count > 300);
    candidates.pop_back();
    relays.update(start, candidates, 2000);
    for (int it = 0; it < 2000; ++it) {
        const ProcessId now = relays.relayOf("elsewhere", nameOf(it));
        if (before[static_cast<std::size_t>(it)] != ProcessId { 5 })
            CHECK(now == before[static_cast<std::size_t>(it)]);
    }
}
