#include "benchmarks/routing/Baselines.h"

#include <functional>
#include <queue>

namespace acaciafork::routing::bench {
namespace {

/// Servers with one queue in front of them, first come, first served.
class Station
{
public:
    explicit Station(int servers)
        : m_servers(servers)
    { }

    /// Work that comes at `time`. @return when it ends
    std::int64_t add(std::int64_t time, std::int64_t work)
    {
        while (!m_ends.empty() && m_ends.top() <= time)
            m_ends.pop();
        std::int64_t begin = time;
        // With all servers busy it begins when the first of those that count becomes free.
        if (static_cast<int>(m_ends.size()) >= m_servers) {
            ++m_foundFull;
            begin = m_ends.top();
            m_ends.pop();
        }
        m_ends.push(begin + work);
        return begin + work;
    }

    /// Moment at which work that comes at `time` would begin.
    std::int64_t beginOf(std::int64_t time)
    {
        while (!m_ends.empty() && m_ends.top() <= time)
            m_ends.pop();
        return static_cast<int>(m_ends.size()) < m_servers ? time : m_ends.top();
    }

    /// Times that work found all servers busy.
    [[nodiscard]] int foundFull() const { return m_foundFull; }

private:
    int m_servers;
    int m_foundFull = 0;
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> m_ends;
};

} // namespace

std::vector<Ended> runBaseline(Baseline baseline, const Deployment &deployment,
                               const std::vector<Arrival> &arrivals, Duration hop, int *overshoots)
{
    const int slots = deployment.endpoints * deployment.slots;
    std::vector<Station> stations;
    if (baseline == Baseline::RoundRobin)
        stations.assign(deployment.endpoints, Station(deployment.slots));
    else if (baseline == Baseline::StaticSplit)
        stations.assign(deployment.entries, Station(slots / deployment.entries));
    else
        stations.assign(1, Station(slots));
    // Slots are held over the way there and back, except by the queue that knows everything.
    const std::int64_t held = baseline == Baseline::StaticSplit ? 2 * hop.count() : 0;
    const std::int64_t way = 2 * hop.count() - held;

    std::vector<std::size_t> next(deployment.entries);
    for (std::size_t it = 0; it < next.size(); ++it)
        next[it] = it * deployment.endpoints / deployment.entries;

    std::vector<Ended> ended;
    ended.reserve(arrivals.size());
    for (const Arrival &it : arrivals) {
        std::size_t station = 0;
        if (baseline == Baseline::RoundRobin)
            station = next[it.entry]++ % stations.size();
        else if (baseline == Baseline::StaticSplit)
            station = static_cast<std::size_t>(it.entry);

        // Queues before the slots drop what has timed out; an endpoint works through everything.
        const std::int64_t begin = stations[station].beginOf(it.time);
        const bool tooLate = baseline != Baseline::RoundRobin
                && begin + it.work.count() > it.time + it.timeout.count();
        if (tooLate) {
            ended.push_back(Ended { .arrival = &it, .refused = true });
            continue;
        }
        const std::int64_t end = stations[station].add(it.time, it.work.count() + held) + way;
        ended.push_back(Ended { .arrival = &it, .latency = end - it.time });
    }
    *overshoots = 0;
    for (const Station &it : stations)
        *overshoots += baseline == Baseline::RoundRobin ? it.foundFull() : 0;
    return ended;
}

} // namespace acaciafork::routing::bench
