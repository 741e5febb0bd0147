#include "acaciafork/control/LoopLoad.h"

#include <time.h>

#include <algorithm>

#include <spdlog/spdlog.h>

namespace acaciafork::control {
namespace {

constexpr Duration logInterval = std::chrono::seconds(2);

Duration processorTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

std::int64_t toMs(Duration time)
{
    return time / std::chrono::milliseconds(1);
}

std::int64_t meanUs(Duration sum, std::uint64_t n)
{
    return n == 0 ? 0 : sum.count() / static_cast<std::int64_t>(n);
}

} // namespace

void LoopLoad::addTurn(Duration decisions, Duration agreement)
{
    ++m_sums.turns;
    m_sums.decisions += decisions;
    m_sums.agreement += agreement;
}

void LoopLoad::addLag(Duration lag)
{
    ++m_sums.ticks;
    m_sums.lag += lag;
    m_sums.longestLag = std::max(m_sums.longestLag, lag);
}

void LoopLoad::logIfDue(Timestamp now, bool isLeader, std::int64_t syncs, Duration syncTime,
                        peers::PeerLink *link)
{
    if (now < m_nextLog)
        return;
    const Duration processor = processorTime();
    const peers::MessageDelays delays = link->takeDelays();
    if (m_nextLog != Timestamp {}) {
        spdlog::info("event=loop-load leader={} interval-ms={} turns={} processor-ms={} "
                     "decisions-ms={} agreement-ms={} syncs={} sync-ms={} mean-lag-us={} "
                     "longest-lag-ms={} messages={} mean-delay-us={} longest-delay-ms={}",
                     isLeader, toMs(now - m_since), m_sums.turns, toMs(processor - m_processorTime),
                     toMs(m_sums.decisions), toMs(m_sums.agreement), syncs - m_syncs,
                     toMs(syncTime - m_syncTime), meanUs(m_sums.lag, m_sums.ticks),
                     toMs(m_sums.longestLag), delays.messages, meanUs(delays.sum, delays.messages),
                     toMs(delays.longest));
    }
    m_sums = {};
    m_since = now;
    m_nextLog = now + logInterval;
    m_processorTime = processor;
    m_syncs = syncs;
    m_syncTime = syncTime;
}

} // namespace acaciafork::control
