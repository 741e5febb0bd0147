#include "benchmarks/routing/GrantorCost.h"

#include <chrono>
#include <string>
#include <vector>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::routing::bench {
namespace {

constexpr std::uint32_t slots = 8;
constexpr int seconds = 20;
constexpr int warmupSeconds = 10;
constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr int ticksPerSecond = 100;

/// Adds up the time that some events take.
class Stopwatch
{
public:
    template <typename Event>
    void time(Event event)
    {
        const auto before = std::chrono::steady_clock::now();
        event();
        m_sum += std::chrono::steady_clock::now() - before;
        ++m_count;
    }

    [[nodiscard]] double meanUs() const { return m_count > 0 ? m_sum.count() / m_count : 0; }

private:
    std::chrono::duration<double, std::micro> m_sum {};
    int m_count = 0;
};

EndpointAnnouncement announcementOf(int endpoint, std::uint64_t sequence)
{
    return EndpointAnnouncement { .endpoint = EndpointName { "worker-" + std::to_string(endpoint) },
                                  .service = ServiceName { "loopdraw" },
                                  .address = "127.0.0.1:" + std::to_string(endpoint),
                                  .zone = ZoneName { "zone-" + std::to_string(endpoint % 11) },
                                  .rack = RackName { "rack-" + std::to_string(endpoint / 11) },
                                  .incarnation = Incarnation { 1 },
                                  .sequence = sequence,
                                  .slots = slots,
                                  .connections = 64,
                                  .listsAttempts = true };
}

} // namespace

GrantorCost measureGrantorCost(int endpoints, int entries)
{
    CreditGrantor grantor((CreditSettings()));
    GrantorCommands commands;
    Timestamp now = timestampFromMicroseconds(1'000'000'000);
    grantor.becameLeader(now, 1, {}, true, &commands);
    std::vector<CreditReport> reports(static_cast<std::size_t>(entries));
    for (int it = 0; it < entries; ++it) {
        const auto wanted =
                static_cast<std::uint32_t>(endpoints) * slots / static_cast<std::uint32_t>(entries);
        reports[it] = CreditReport { .entry = ProcessId { static_cast<std::uint32_t>(it + 1) },
                                     .entryIncarnation = Incarnation { 1 },
                                     .zone = ZoneName { "zone-" + std::to_string(it % 11) },
                                     .term = 1,
                                     .full = true };
        reports[it].demands.push_back(
                ServiceDemand { .service = ServiceName { "loopdraw" }, .wanted = wanted });
    }

    Stopwatch announcement;
    Stopwatch report;
    Stopwatch tick;
    for (int second = 0; second < seconds; ++second) {
        const bool warm = second >= warmupSeconds;
        for (int it = 0; it < endpoints; ++it) {
            const auto said = announcementOf(it, static_cast<std::uint64_t>(second) + 1);
            const auto event = [&] { grantor.endpointAnnounced(now, said, &commands); };
            warm ? announcement.time(event) : event();
        }
        for (CreditReport &it : reports) {
            ++it.number;
            const auto event = [&] { grantor.creditReport(now, it, &commands); };
            warm ? report.time(event) : event();
            it.full = false;
        }
        for (int it = 0; it < ticksPerSecond; ++it) {
            now += tickInterval;
            const auto event = [&] { grantor.tick(now, &commands); };
            warm ? tick.time(event) : event();
            // What is granted is reported as taken in, as an entry would.
            for (const GrantorCommand &command : commands) {
                const auto *send = std::get_if<SendGrant>(&command);
                if (!send || send->grant.grants.empty())
                    continue;
                CreditReport &answer = reports[send->grant.entry.value - 1];
                for (const EndpointGrant &line : send->grant.grants) {
                    answer.holdings.push_back(CreditHolding { .endpoint = line.endpoint,
                                                              .service = line.service,
                                                              .grantNumber = line.grantNumber,
                                                              .slots = line.slots,
                                                              .connections = line.connections });
                }
            }
            commands.clear();
        }
        for (CreditReport &it : reports) {
            if (it.holdings.empty())
                continue;
            ++it.number;
            grantor.creditReport(now, it, &commands);
            it.holdings.clear();
        }
    }
    return GrantorCost { .endpoints = endpoints,
                         .entries = entries,
                         .announcementUs = announcement.meanUs(),
                         .reportUs = report.meanUs(),
                         .tickUs = tick.meanUs() };
}

} // namespace acaciafork::routing::bench
