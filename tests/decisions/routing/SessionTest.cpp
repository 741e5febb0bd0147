#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "tests/decisions/routing/FakeWorld.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;

std::string describe(const WorldRecord &record)
{
    constexpr const char *names[] = { "open", "answered", "not-run", "unknown" };
    std::ostringstream line;
    line << record.arrival / 1000 << " ms entry " << record.request.entry + 1 << ' '
         << (record.request.idempotent ? "idempotent" : "once") << " work "
         << record.request.work.count() / 1000
         << " ms: " << names[static_cast<std::size_t>(record.outcome)] << " after "
         << (record.outcome == WorldEnd::Open ? 0 : (record.end - record.arrival) / 1000)
         << " ms, runs " << record.runs << ", forwards " << record.forwards << '\n';
    return line.str();
}

/// A whole session: load, an entry that crashes, an endpoint that restarts, one that leaves, a
/// change of leader, overload.
std::string session()
{
    WorldOptions options { .entries = 3, .endpoints = 4, .zones = 2, .endpointsPerRack = 2 };
    options.seed = 5;
    FakeWorld world(options);
    for (int it = 0; it < 240; ++it) {
        world.at(10 * second + std::int64_t { it } * 100'000, [&world, it] {
            world.put(WorldRequest { .entry = it % 3,
                                     .work = std::chrono::milliseconds(20 + it * 37 % 400),
                                     .route = static_cast<std::uint64_t>(it % 4),
                                     .idempotent = it % 3 != 0,
                                     .key = it % 3 == 0 ? static_cast<std::uint64_t>(it + 1) : 0,
                                     .timeout = std::chrono::seconds(2) });
        });
    }
    for (int it = 0; it < 60; ++it)
        world.at(28 * second + std::int64_t { it } * 2000,
                 [&world, it] { world.put({ .entry = it % 3 }); });
    world.at(13 * second, [&] { world.crashEntry(2); });
    world.at(15 * second, [&] { world.startEntry(2); });
    world.at(17 * second, [&] { world.restartEndpoint(0, std::chrono::seconds(1)); });
    world.at(20 * second, [&] { world.loseLeader(); });
    world.at(22 * second, [&] { world.changeLeader(); });
    world.at(24 * second, [&] { world.leaveEndpoint(3); });
    world.runUntil(45 * second);

    std::string text;
    for (const WorldRecord &it : world.records())
        text += describe(it);
    text += "overshoots " + std::to_string(world.overshoots()) + ", ledger commits "
            + std::to_string(world.ledgerCommits()) + '\n';
    return text;
}

} // namespace

TEST_CASE("a whole session of requests goes as it always went")
{
    const std::string path = ACACIAFORK_GOLDEN_DIR "/routing/session.txt";
    const std::string text = session();
    if (std::getenv("ACACIAFORK_UPDATE_GOLDEN")) {
        std::ofstream(path) << text;
        return;
    }
    std::ifstream file(path);
    std::stringstream golden;
    golden << file.rdbuf();
    CHECK(golden.str() == text);
}

} // namespace acaciafork::routing::fake
