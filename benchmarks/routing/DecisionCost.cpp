#include "benchmarks/routing/DecisionCost.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::routing::bench {
namespace {

constexpr int decisions = 200'000;
constexpr std::uint32_t slots = 8;
constexpr std::uint64_t term = 1;
constexpr int requestsOpen = 64;

/// Grant of all slots of all workers.
CreditGrant fullGrant(int workers, std::uint64_t reportNumber)
{
    CreditGrant grant { .entry = ProcessId { 1 },
                        .entryIncarnation = Incarnation { 1 },
                        .term = term,
                        .reportNumber = reportNumber,
                        .lease = std::chrono::hours(1) };
    for (int it = 0; it < workers; ++it) {
        grant.grants.push_back(
                EndpointGrant { .endpoint = EndpointName { "worker-" + std::to_string(it) },
                                .service = ServiceName { "loopdraw" },
                                .address = "127.0.0.1:" + std::to_string(it),
                                .zone = ZoneName { "zone-" + std::to_string(it % 3) },
                                .rack = RackName { "rack-" + std::to_string(it / 11) },
                                .incarnation = Incarnation { 1 },
                                .grantNumber = static_cast<std::uint64_t>(it) + 1,
                                .slots = slots,
                                .connections = 2 * slots });
    }
    return grant;
}

} // namespace

DecisionCost measureDecisionCost(int workers)
{
    EntryScheduler scheduler(EntryOptions { .process = ProcessId { 1 },
                                            .incarnation = Incarnation { 1 },
                                            .zone = ZoneName { "zone-0" } });
    const ServiceSettings settings { .service = ServiceName { "loopdraw" } };
    EntryCommands commands;
    Timestamp now = timestampFromMicroseconds(1'000'000'000);
    scheduler.configApplied(now, std::span(&settings, 1), &commands);
    scheduler.controlLeaderFound(now, term, &commands);
    scheduler.grantReceived(now, fullGrant(workers, 1), &commands);

    // Some requests are always open, so that the choice is between loaded endpoints.
    std::vector<AttemptId> open;
    std::vector<double> costs;
    costs.reserve(decisions);
    RequestInfo info { .service = settings.service };
    for (int it = 0; it < decisions; ++it) {
        now += Duration(20);
        info.request = RequestId { static_cast<std::uint64_t>(it) + 1 };
        info.routeHash = static_cast<std::uint64_t>(it % 5);
        info.deadline = now + std::chrono::seconds(10);
        commands.clear();
        const auto before = std::chrono::steady_clock::now();
        scheduler.requestArrived(now, info, &commands);
        const std::chrono::duration<double, std::nano> cost =
                std::chrono::steady_clock::now() - before;
        costs.push_back(cost.count());
        for (const EntryCommand &command : commands) {
            if (const auto *start = std::get_if<StartAttempt>(&command))
                open.push_back(start->attempt);
        }
        if (open.size() > requestsOpen) {
            const std::size_t place = static_cast<std::size_t>(it) % open.size();
            scheduler.attemptEnded(now, open[place],
                                   AttemptEnd { .phase = AttemptPhase::Body,
                                                .outcome = AttemptOutcome::Ok,
                                                .connectionKept = true },
                                   &commands);
            open[place] = open.back();
            open.pop_back();
        }
    }
    std::sort(costs.begin(), costs.end());
    return DecisionCost { .workers = workers,
                          .medianNs = costs[costs.size() / 2],
                          .p99Ns = costs[costs.size() * 99 / 100] };
}

} // namespace acaciafork::routing::bench
