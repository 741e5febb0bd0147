#pragma once

#include <map>
#include <set>

#include "tests/decisions/routing/SimulatedCluster.h"

namespace acaciafork::routing::fake {

inline constexpr std::int64_t tickInterval = 10'000;
inline constexpr std::int64_t connectTimeout = 200'000;
/// Process number of the grantor in the skew of clocks.
inline constexpr int grantorProcess = -1;
/// Request ids at a peer entry: the same request under another number.
inline constexpr std::uint64_t forwardedBit = 1ULL << 62U;

struct SimulatedCluster::Endpoint
{
    EndpointName name;
    bool up = true;
    bool dead = false;
    bool leaving = false;
    double serviceTimeFactor = 1;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    int restarts = 0;
    std::set<std::uint64_t> running;
    /// Open connections by entry and its incarnation.
    std::map<std::pair<int, std::uint64_t>, int> connections;
    int starts = 0;
    std::int64_t lastStart = -1;
};

struct SimulatedCluster::Entry
{
    std::uint64_t incarnation = 0;
    bool partitioned = false;
    std::unique_ptr<EntryScheduler> scheduler;
};

struct SimulatedCluster::Attempt
{
    int entry = 0;
    std::uint64_t entryIncarnation = 0;
    int endpoint = 0;
    std::uint64_t endpointIncarnation = 0;
    std::size_t record = 0;
    /// True once the port has given up on it: its connection carries nothing else.
    bool retired = false;
};

template <typename Event>
void SimulatedCluster::dispatch(int entry, Event event)
{
    EntryScheduler *scheduler = m_entries[entry]->scheduler.get();
    if (!scheduler)
        return;
    EntryCommands commands;
    event(scheduler, localTime(entry), &commands);
    execute(entry, &commands);
}

} // namespace acaciafork::routing::fake
