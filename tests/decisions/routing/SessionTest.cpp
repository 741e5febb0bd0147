#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "tests/decisions/routing/SimulatedCluster.h"

namespace acaciafork::routing::fake {
namespace {

constexpr std::int64_t second = 1'000'000;

std::string describe(const RequestResult &record)
{
    constexpr const char *names[] = { "open", "answered", "not-run", "unknown" };
    std::ostringstream line;
    line << record.arrival / 1000 << " ms entry " << record.request.entry + 1 << ' '
         << (record.request.idempotent ? "idempotent" : "once") << " work "
         << record.request.work.count() / 1000
         << " ms: " << names[static_cast<std::size_t>(record.outcome)] << " after "
         << (record.outcome == RequestOutcome::Open ? 0 : (record.end - record.arrival) / 1000)
         << " ms, runs " << record.runs << ", forwards " << record.forwards << '\n';
    return line.str();
}

/// A whole session: load, an entry that crashes, an endpoint that restarts, one that leaves, a
/// change of leader, overload.
std::string session()
{
    ClusterOptions options { .entries = 3, .endpoints = 4, .zones = 2, .endpointsPerRack = 2 };
    options.seed = 5;
    SimulatedCluster cluster(options);
    for (int it = 0; it < 240; ++it) {
        cluster.at(10 * second + std::int64_t { it } * 100'000, [&cluster, it] {
            cluster.submit(
                    SimulatedRequest { .entry = it % 3,
                                       .work = std::chrono::milliseconds(20 + it * 37 % 400),
                                       .route = static_cast<std::uint64_t>(it % 4),
                                       .idempotent = it % 3 != 0,
                                       .key = it % 3 == 0 ? static_cast<std::uint64_t>(it + 1) : 0,
                                       .timeout = std::chrono::seconds(2) });
        });
    }
    for (int it = 0; it < 60; ++it)
        cluster.at(28 * second + std::int64_t { it } * 2000,
                   [&cluster, it] { cluster.submit({ .entry = it % 3 }); });
    cluster.at(13 * second, [&] { cluster.crashEntry(2); });
    cluster.at(15 * second, [&] { cluster.startEntry(2); });
    cluster.at(17 * second, [&] { cluster.restartEndpoint(0, std::chrono::seconds(1)); });
    cluster.at(20 * second, [&] { cluster.loseLeader(); });
    cluster.at(22 * second, [&] { cluster.changeLeader(); });
    cluster.at(24 * second, [&] { cluster.leaveEndpoint(3); });
    cluster.runUntil(45 * second);

    std::string text;
    for (const RequestResult &it : cluster.records())
        text += describe(it);
    text += "overshoots " + std::to_string(cluster.overshoots()) + ", ledger commits "
            + std::to_string(cluster.ledgerCommits()) + '\n';
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
