#include "acaciafork/consensus/NodeStatus.h"

#include <algorithm>

namespace acaciafork::consensus {

std::string_view roleName(Role role)
{
    switch (role) {
    case Role::Follower:
        return "follower";
    case Role::PreCandidate:
        return "pre-candidate";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        return "leader";
    }
    return "unknown";
}

Redundancy redundancy(const NodeStatus &status)
{
    Redundancy result;
    std::size_t synced = 0;
    for (const MemberStatus &it : status.members) {
        if (!it.member.voter || !it.live || it.match < status.commit)
            continue;
        ++result.syncedVoters[it.member.zone];
        ++synced;
    }

    const std::size_t quorum = status.membership.quorum();
    result.faultsTolerated = synced > quorum ? synced - quorum : 0;
    result.survivesZoneLoss = !result.syncedVoters.empty()
            && std::ranges::all_of(result.syncedVoters,
                                   [&](const auto &it) { return synced - it.second >= quorum; });
    return result;
}

} // namespace acaciafork::consensus
