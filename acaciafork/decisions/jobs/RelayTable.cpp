#include "acaciafork/decisions/jobs/RelayTable.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace acaciafork::jobs {
namespace {

/// Relays stay in use until the workers are fewer than this part of those that brought them into
/// use, so that a few workers more or less do not move all connections.
constexpr std::size_t keepNumerator = 3;
constexpr std::size_t keepDenominator = 4;

} // namespace

RelayTable::RelayTable(const RelaySettings &settings, ProcessId self, std::string zone)
    : m_settings(settings)
    , m_self { .process = self, .zone = std::move(zone) }
    , m_members { m_self }
{ }

bool RelayTable::isInUse(std::size_t workers) const
{
    const std::size_t needed = m_isInUse ? m_settings.fromWorkers * keepNumerator / keepDenominator
                                         : m_settings.fromWorkers;
    return m_settings.fromWorkers > 0 && workers >= needed;
}

void RelayTable::update(Timestamp now, std::span<const RelayCandidate> candidates,
                        std::size_t workers)
{
    m_isInUse = isInUse(workers);
    m_members = { m_self };
    if (!m_isInUse)
        return;
    for (const RelayCandidate &it : candidates) {
        if (now - it.answeredAt <= m_settings.maxSilence)
            m_members.push_back({ .process = it.process, .zone = it.zone });
    }
}

ProcessId RelayTable::relayOf(std::string_view zone, std::string_view worker) const
{
    // Rendezvous hashing: a member that is lost or joins moves only its own workers.
    const bool isZoneServed =
            std::ranges::any_of(m_members, [&](const Member &it) { return it.zone == zone; });
    ProcessId best = m_self.process;
    std::uint64_t bestRank = 0;
    for (const Member &it : m_members) {
        if (isZoneServed && it.zone != zone)
            continue;
        const std::uint64_t rank =
                XXH3_64bits_withSeed(worker.data(), worker.size(), it.process.value);
        if (rank >= bestRank) {
            best = it.process;
            bestRank = rank;
        }
    }
    return best;
}

bool RelayTable::isLive(ProcessId process) const
{
    return std::ranges::any_of(m_members, [&](const Member &it) { return it.process == process; });
}

} // namespace acaciafork::jobs
