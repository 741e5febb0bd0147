#include "acaciafork/entry/ConfigFollower.h"

#include <algorithm>

namespace acaciafork::entry {

ConfigFollower::ConfigFollower(const ConfigFollowerSettings &settings)
    : m_settings(settings)
{ }

std::uint64_t ConfigFollower::beginHeartbeat(Timestamp now)
{
    ++m_sequence;
    m_askedAt[m_sequence % rememberedHeartbeats] = now;
    return m_sequence;
}

bool ConfigFollower::reply(std::uint64_t sequence, ConfigVersion version,
                           const std::string &document)
{
    const bool remembered =
            sequence != 0 && sequence <= m_sequence && m_sequence - sequence < rememberedHeartbeats;
    if (!remembered || version < m_version)
        return false;

    // A newer version counts only with its document: without it the entry can't act on it, and
    // must not hold a lease for it either.
    const bool newer = version > m_version;
    if (newer && document.empty())
        return false;
    if (newer) {
        m_version = version;
        m_document = document;
    }

    const Timestamp end = m_askedAt[sequence % rememberedHeartbeats] + m_settings.lease;
    m_leaseEnd = m_confirmed ? std::max(m_leaseEnd, end) : end;
    m_confirmed = true;
    return newer;
}

bool ConfigFollower::ready(Timestamp now) const
{
    if (!m_confirmed)
        return false;
    return now < m_leaseEnd || m_settings.serveWithoutControl;
}

} // namespace acaciafork::entry
