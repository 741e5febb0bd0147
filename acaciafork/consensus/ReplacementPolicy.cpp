#include "acaciafork/consensus/ReplacementPolicy.h"

#include <algorithm>
#include <tuple>

namespace acaciafork::consensus {

std::optional<ReplacementCommand> ReplacementPolicy::decide(Timestamp now, const NodeStatus &status)
{
    if (status.role != Role::Leader || !m_settings.automatic) {
        m_silentSince.clear();
        return std::nullopt;
    }
    std::erase_if(m_silentSince,
                  [&](const auto &it) { return status.membership.find(it.first) == nullptr; });

    // The member that has been silent the longest is the surest to be gone.
    const Member *lost = nullptr;
    Timestamp lostSince = Timestamp::max();
    for (const MemberStatus &it : status.members) {
        if (it.live) {
            m_silentSince.erase(it.member.id);
            continue;
        }
        const auto [since, added] = m_silentSince.emplace(it.member.id, now);
        if (now - since->second < m_settings.lostAfter)
            continue;
        // A learner that got lost on its way makes room for the next spare.
        if (!it.member.voter)
            return ReplacementCommand { .lost = it.member.id, .spare = {} };
        const bool isBeingReplaced =
                std::ranges::any_of(status.membership.members, [&](const Member &other) {
                    return other.replaces == it.member.id;
                });
        if (!isBeingReplaced && since->second < lostSince) {
            lost = status.membership.find(it.member.id);
            lostSince = since->second;
        }
    }
    const bool hasRoom =
            status.membership.members.size() < static_cast<std::size_t>(m_settings.voters);
    if (lost == nullptr && !hasRoom)
        return std::nullopt;
    const ProcessId spare = chooseSpare(now, status, lost);
    if (!spare)
        return std::nullopt;
    return ReplacementCommand { .lost = lost == nullptr ? ProcessId {} : lost->id, .spare = spare };
}

ProcessId ReplacementPolicy::chooseSpare(Timestamp now, const NodeStatus &status,
                                         const Member *lost) const
{
    // The lost member's zone first, then the zone with the fewest voters.
    const auto rank = [&](const Spare &spare) {
        const auto voters = std::ranges::count_if(status.membership.members, [&](const Member &it) {
            return it.voter && (lost == nullptr || it.id != lost->id) && it.zone == spare.zone;
        });
        return std::tuple(lost != nullptr && spare.zone != lost->zone, voters, spare.id);
    };
    const Spare *best = nullptr;
    for (const Spare &it : status.spares) {
        const bool isTaken =
                status.membership.find(it.id) != nullptr || status.membership.isRetired(it.id);
        if (isTaken || now - it.lastHeardAt > m_settings.maxSpareAge)
            continue;
        if (best == nullptr || rank(it) < rank(*best))
            best = &it;
    }
    return best == nullptr ? ProcessId {} : best->id;
}

} // namespace acaciafork::consensus
