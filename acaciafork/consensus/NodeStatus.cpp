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

std::string_view standingName(Standing standing)
{
    switch (standing) {
    case Standing::Voter:
        return "voter";
    case Standing::Learner:
        return "learner";
    case Standing::Outside:
        return "outside";
    case Standing::Displaced:
        return "displaced";
    }
    return "unknown";
}

namespace {

/// Limits `result` to the redundancy that the group has under `membership`.
void limitByMembership(const NodeStatus &status, const Membership &membership, Redundancy *result)
{
    std::map<ZoneName, std::size_t> zones;
    std::size_t synced = 0;
    for (const MemberStatus &it : status.members) {
        if (!membership.isVoter(it.member.id) || !it.live || it.match < status.commit)
            continue;
        ++zones[it.member.zone];
        ++synced;
    }
    const std::size_t quorum = membership.quorum();
    const bool zoneLoss = !zones.empty() && std::ranges::all_of(zones, [&](const auto &it) {
        return synced - it.second >= quorum;
    });
    result->faultsTolerated =
            std::min(result->faultsTolerated, synced > quorum ? synced - quorum : 0);
    result->survivesZoneLoss = result->survivesZoneLoss && zoneLoss;
    result->syncedVoters = std::move(zones);
}

} // namespace

Redundancy redundancy(const NodeStatus &status)
{
    if (status.role != Role::Leader)
        return {};
    // The next leader may still undo an uncommitted membership change, so the result must hold
    // under both memberships.
    Redundancy result { .syncedVoters = {}, .faultsTolerated = SIZE_MAX, .survivesZoneLoss = true };
    limitByMembership(status, status.committedMembership, &result);
    limitByMembership(status, status.membership, &result);
    return result;
}

} // namespace acaciafork::consensus
