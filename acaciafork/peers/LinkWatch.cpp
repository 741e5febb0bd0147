#include "acaciafork/peers/LinkWatch.h"

#include <algorithm>
#include <utility>

namespace acaciafork::peers {

bool LinkWatch::heard(Timestamp now, ProcessId peer)
{
    Peer &it = m_peers[peer];
    it.heardAt = now;
    return std::exchange(it.isSilent, false);
}

std::vector<SilentPeer> LinkWatch::silent(Timestamp now, const std::vector<ProcessId> &expected)
{
    std::vector<SilentPeer> found;
    for (const ProcessId it : expected) {
        const auto [peer, isNew] = m_peers.try_emplace(it, Peer { now, now });
        if (isNew)
            continue;
        const Timestamp since = std::max(peer->second.heardAt, peer->second.redialledAt);
        if (now - since < m_settings.silence)
            continue;
        peer->second.redialledAt = now;
        found.push_back({ .process = it, .isNew = !std::exchange(peer->second.isSilent, true) });
    }
    return found;
}

std::vector<ProcessId> LinkWatch::gone(Timestamp now)
{
    std::vector<ProcessId> found;
    std::erase_if(m_peers, [&](const auto &it) {
        const bool isGone = now - it.second.heardAt > m_settings.forgetAfter;
        if (isGone)
            found.push_back(it.first);
        return isGone;
    });
    return found;
}

} // namespace acaciafork::peers
