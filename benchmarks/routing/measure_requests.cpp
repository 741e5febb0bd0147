#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "benchmarks/routing/Baselines.h"
#include "benchmarks/routing/DecisionCost.h"
#include "benchmarks/routing/GrantorCost.h"
#include "benchmarks/routing/Workload.h"
#include "tests/decisions/routing/SimulatedCluster.h"

namespace acaciafork::routing::bench {
namespace {

constexpr Duration oneWayLatency = std::chrono::microseconds(1500);
constexpr double warmupSeconds = 18;
constexpr double endSeconds = 38;
constexpr double secondUs = 1e6;
const Deployment loopdraw { "loopdraw", 65, 11, 9 };
const Deployment furikoBook { "furiko-book", 50, 8, 7 };

/// Runs a workload through the real decision objects.
Outcome runProduct(const Deployment &deployment, const std::vector<Arrival> &arrivals, double from,
                   double to, const std::function<void(fake::SimulatedCluster *)> &disturb = {})
{
    fake::ClusterOptions options;
    options.entries = deployment.entries;
    options.endpoints = deployment.endpoints;
    options.endpointsPerRack = deployment.endpointsPerRack;
    options.zones = 3;
    options.slots = static_cast<std::uint32_t>(deployment.slots);
    options.connections = static_cast<std::uint32_t>(deployment.connections);
    options.oneWayLatency = oneWayLatency;
    fake::SimulatedCluster world(options);
    for (const Arrival &it : arrivals) {
        world.at(it.time, [&world, &it] {
            world.submit(fake::SimulatedRequest { .entry = it.entry,
                                                  .work = it.work,
                                                  .route = static_cast<std::uint64_t>(it.kind) + 1,
                                                  .timeout = it.timeout });
        });
    }
    if (disturb)
        disturb(&world);
    std::int64_t messagesBefore = 0;
    std::int64_t messagesAfter = 0;
    world.at(static_cast<std::int64_t>(from * secondUs),
             [&] { messagesBefore = world.controlMessages(); });
    world.at(static_cast<std::int64_t>(to * secondUs),
             [&] { messagesAfter = world.controlMessages(); });
    world.runUntil(static_cast<std::int64_t>((to + 60) * secondUs));

    std::vector<Ended> ended;
    for (std::size_t it = 0; it < arrivals.size(); ++it) {
        const fake::RequestResult &record = world.records()[it];
        const bool answered = record.outcome == fake::RequestOutcome::Answered;
        ended.push_back(Ended { .arrival = &arrivals[it],
                                .latency = answered ? record.end - record.arrival : -1,
                                .refused = record.outcome == fake::RequestOutcome::NotRun,
                                .attempts = record.attempts });
    }
    Outcome outcome = summarize(ended, deployment, from, to);
    outcome.overshoots = world.overshoots() + world.connectionOvershoots();
    outcome.controlMessagesPerSecond =
            static_cast<double>(messagesAfter - messagesBefore) / (to - from);
    return outcome;
}

void printHead(const std::string &title)
{
    std::printf("\n%s\n", title.c_str());
    std::printf("%-22s %8s %8s %8s %8s %7s %8s %9s %9s %10s %6s\n", "policy", "arrived", "answered",
                "refused", "unknown", "useful%", "p50 ms", "wait p99", "p99 ms", "checks p99",
                "over");
}

void printRow(const char *policy, const Outcome &outcome)
{
    std::printf("%-22s %8d %8d %8d %8d %7.1f %8.1f %9.1f %9.1f %10.1f %6d\n", policy,
                outcome.arrivals, outcome.answered, outcome.refused, outcome.unknown,
                100 * outcome.usefulShare, outcome.p50Ms, outcome.waitP99Ms, outcome.p99Ms,
                outcome.checkP99Ms, outcome.overshoots);
}

void printGoal(const char *what, double value, const char *relation, double goal, bool met)
{
    std::printf("  %-58s %9.3f  goal %s %.3f  %s\n", what, value, relation, goal,
                met ? "met" : "MISSED");
}

void goalAtMost(const char *what, double value, double goal)
{
    printGoal(what, value, "<=", goal, value <= goal);
}

void goalAtLeast(const char *what, double value, double goal)
{
    printGoal(what, value, ">=", goal, value >= goal);
}

/// Rows of the baselines. @return outcome of the single queue
Outcome printBaselines(const Deployment &deployment, const std::vector<Arrival> &arrivals,
                       double from, double to)
{
    Outcome ideal;
    const std::pair<Baseline, const char *> baselines[] = {
        { Baseline::RoundRobin, "round robin, no limit" },
        { Baseline::StaticSplit, "even static split" },
        { Baseline::SingleQueue, "single queue (ideal)" }
    };
    for (const auto &[baseline, name] : baselines) {
        int overshoots = 0;
        const std::vector<Ended> ended =
                runBaseline(baseline, deployment, arrivals, oneWayLatency, &overshoots);
        Outcome outcome = summarize(ended, deployment, from, to);
        outcome.overshoots = overshoots;
        printRow(name, outcome);
        if (baseline == Baseline::SingleQueue)
            ideal = outcome;
    }
    return ideal;
}

/// 80% load with stragglers among it: how near to the ideal.
Outcome measureSteady(const Deployment &deployment, std::uint64_t seed)
{
    WorkloadOptions options { .deployment = deployment,
                              .stretches = { { .seconds = 30, .load = 0.7, .stragglerLoad = 0.1 } },
                              .seed = seed };
    const std::vector<Arrival> arrivals = drawArrivals(options);
    printHead(std::string(deployment.name) + ": steady 80% load, an eighth of it stragglers");
    const Outcome product = runProduct(deployment, arrivals, warmupSeconds, endSeconds);
    printRow("acaciafork", product);
    const Outcome ideal = printBaselines(deployment, arrivals, warmupSeconds, endSeconds);
    goalAtMost("p99 against the ideal", product.p99Ms / ideal.p99Ms, 1.3);
    goalAtMost("overshoots", product.overshoots, 0);
    std::printf("  control messages: %.0f a second\n", product.controlMessagesPerSecond);
    return product;
}

/// Short work alone, then beside stragglers.
void measureHeadOfLine(const Deployment &deployment, std::uint64_t seed)
{
    WorkloadOptions options { .deployment = deployment,
                              .stretches = { { .seconds = 30, .load = 0.55 } },
                              .seed = seed };
    const std::vector<Arrival> alone = drawArrivals(options);
    options.stretches[0].stragglerLoad = 0.4;
    const std::vector<Arrival> beside = drawArrivals(options);
    printHead(std::string(deployment.name) + ": short work at 55% load, alone");
    const Outcome without = runProduct(deployment, alone, warmupSeconds, endSeconds);
    printRow("acaciafork", without);
    printHead(std::string(deployment.name) + ": the same beside stragglers that ask for 40% more");
    const Outcome with = runProduct(deployment, beside, warmupSeconds, endSeconds);
    printRow("acaciafork", with);
    printBaselines(deployment, beside, warmupSeconds, endSeconds);
    goalAtMost("p99 of checks beside stragglers against alone",
               with.checkP99Ms / without.checkP99Ms, 1.25);
    goalAtMost("overshoots", with.overshoots, 0);
}

/// Twice the load that the slots can carry.
void measureOverload(const Deployment &deployment, const Outcome &steady, std::uint64_t seed)
{
    WorkloadOptions options { .deployment = deployment,
                              .stretches = { { .seconds = 30, .load = 2 } },
                              .timeout = std::chrono::seconds(5),
                              .seed = seed };
    const std::vector<Arrival> arrivals = drawArrivals(options);
    printHead(std::string(deployment.name) + ": twice the capacity, timeout 5 s");
    const Outcome product = runProduct(deployment, arrivals, warmupSeconds, endSeconds);
    printRow("acaciafork", product);
    printBaselines(deployment, arrivals, warmupSeconds, endSeconds);
    goalAtLeast("useful answers by slot time, of capacity", product.usefulShare, 0.95);
    goalAtLeast("useful answers by number, of what slots can carry", product.usefulCountShare,
                0.95);
    goalAtMost("p99 of the admitted against p99 at 80%", product.p99Ms / steady.p99Ms, 2);
    goalAtMost("overshoots", product.overshoots, 0);
}

/// Demand that swings within seconds, three times what it was, and one entry with double share.
void measureSwing(const Deployment &deployment, std::uint64_t seed)
{
    WorkloadOptions options {
        .deployment = deployment, .timeout = std::chrono::seconds(10), .skew = 2, .seed = seed
    };
    options.stretches = { { .seconds = 10, .load = 0.4 } };
    for (int it = 0; it < 3; ++it) {
        options.stretches.push_back({ .seconds = 3, .load = 1.2 });
        options.stretches.push_back({ .seconds = 4, .load = 0.4 });
    }
    const std::vector<Arrival> arrivals = drawArrivals(options);
    printHead(std::string(deployment.name) + ": swings between 40% and 120% load, 3 s crests");
    const Outcome product = runProduct(deployment, arrivals, warmupSeconds, endSeconds);
    printRow("acaciafork", product);
    const Outcome ideal = printBaselines(deployment, arrivals, warmupSeconds, endSeconds);
    std::printf("  answered in time, of the ideal's: %.3f\n",
                static_cast<double>(product.useful) / ideal.useful);
    goalAtMost("overshoots", product.overshoots, 0);
}

/// A rack goes at 70% load.
void measureRack(const Deployment &deployment, std::uint64_t seed)
{
    WorkloadOptions options { .deployment = deployment,
                              .stretches = { { .seconds = 30, .load = 0.7 } },
                              .timeout = std::chrono::seconds(3),
                              .seed = seed };
    const std::vector<Arrival> arrivals = drawArrivals(options);
    printHead(std::string(deployment.name)
              + ": a rack goes at 70% load (1 s before to 2 s after it)");
    const double gone = 20;
    const Outcome product = runProduct(
            deployment, arrivals, gone - 1, gone + 2, [&](fake::SimulatedCluster *world) {
                world->at(static_cast<std::int64_t>(gone * secondUs), [world, &deployment] {
                    for (int it = 0; it < deployment.endpointsPerRack; ++it)
                        world->killEndpoint(it);
                });
            });
    printRow("acaciafork", product);
    goalAtMost("extra attempts, percent", product.extraAttemptsPercent, 10);
    goalAtMost("overshoots", product.overshoots, 0);
}

/// Middle one of some figures.
double medianOf(std::vector<double> figures)
{
    std::sort(figures.begin(), figures.end());
    return figures[figures.size() / 2];
}

void measureCost()
{
    // Rounds over all sizes in turn, so that other load on the machine falls on each alike.
    constexpr int rounds = 5;
    constexpr int sizes[] = { 65, 520, 2050, 8200 };
    constexpr std::size_t sizeCount = std::size(sizes);
    std::vector<double> medians[sizeCount];
    std::vector<double> tails[sizeCount];
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t it = 0; it < sizeCount; ++it) {
            const DecisionCost cost = measureDecisionCost(sizes[it]);
            medians[it].push_back(cost.medianNs);
            tails[it].push_back(cost.p99Ns);
        }
    }

    std::printf("\ncost of a routing decision, arrival to StartAttempt, median of %d rounds\n",
                rounds);
    std::printf("%8s %12s %10s\n", "workers", "median ns", "p99 ns");
    std::vector<double> costs;
    for (std::size_t it = 0; it < sizeCount; ++it) {
        costs.push_back(medianOf(medians[it]));
        std::printf("%8d %12.0f %10.0f\n", sizes[it], costs.back(), medianOf(tails[it]));
    }
    const auto [least, most] = std::minmax_element(costs.begin(), costs.end());
    goalAtMost("median ns at any size", *most, 1000);
    goalAtMost("dearest size against the cheapest", *most / *least, 1.5);
}

void measureGrantor()
{
    std::printf("\ncost of the grantor's events, all slots granted, nothing changes\n");
    std::printf("%10s %8s %16s %10s %8s\n", "endpoints", "entries", "announcement us", "report us",
                "tick us");
    const std::pair<int, int> sizes[] = { { 65, 9 }, { 520, 9 }, { 2050, 16 }, { 8200, 23 } };
    for (const auto &[endpoints, entries] : sizes) {
        const GrantorCost cost = measureGrantorCost(endpoints, entries);
        std::printf("%10d %8d %16.2f %10.1f %8.1f\n", cost.endpoints, cost.entries,
                    cost.announcementUs, cost.reportUs, cost.tickUs);
    }
}

} // namespace

/// Runs all measurements, or those named on the command line; `seed=N` changes the seed.
int measureAll(int argc, char **argv)
{
    constexpr std::string_view seedPrefix = "seed=";
    std::uint64_t seed = 20261203;
    std::vector<std::string_view> names;
    for (int it = 1; it < argc; ++it) {
        const std::string_view word = argv[it];
        if (word.substr(0, seedPrefix.size()) == seedPrefix)
            seed = std::strtoull(argv[it] + seedPrefix.size(), nullptr, 10);
        else
            names.push_back(word);
    }
    const auto asked = [&](std::string_view name) {
        return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
    };
    for (const Deployment *it : { &loopdraw, &furikoBook }) {
        Outcome steady;
        if (asked("steady") || asked("overload"))
            steady = measureSteady(*it, seed);
        if (asked("head-of-line"))
            measureHeadOfLine(*it, seed);
        if (asked("overload"))
            measureOverload(*it, steady, seed);
        if (asked("swing"))
            measureSwing(*it, seed);
        if (asked("rack"))
            measureRack(*it, seed);
    }
    if (asked("cost"))
        measureCost();
    if (asked("grantor"))
        measureGrantor();
    return 0;
}

} // namespace acaciafork::routing::bench

int main(int argc, char **argv)
{
    return acaciafork::routing::bench::measureAll(argc, argv);
}
