#pragma once

#include <map>
#include <vector>

#include "acaciafork/consensus/Membership.h"
#include "acaciafork/consensus/Progress.h"

namespace acaciafork::consensus {

/// Part that a member plays in its term.
enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Stable lower-case name of a role.
std::string_view roleName(Role role);

/// What the leader knows of one member, itself included.
struct MemberStatus
{
    Member member;
    /// Last entry that it has synced.
    LogIndex match = 0;
    /// It answered within the last election timeout.
    bool live = false;
    /// Its disk has no room.
    bool full = false;
};

/// A process with an empty folder that offers itself as a member.
struct Spare
{
    ProcessId id;
    ZoneName zone;
    FolderId folder;
    Timestamp lastHeardAt;
};

/// State of a node for operators.
struct NodeStatus
{
    Role role = Role::Follower;
    Term term = 0;
    ProcessId leader;
    LogIndex commit = 0;
    LogIndex last = 0;
    LogIndex durable = 0;
    LogIndex snapshot = 0;
    /// The group does not know this member's folder: it must come back under a new id.
    bool displaced = false;
    /// Members by the latest entry, and by the latest committed one.
    Membership membership;
    Membership committedMembership;
    /// Filled on the leader only.
    std::vector<MemberStatus> members;
    /// Processes that could become members; filled on the leader only.
    std::vector<Spare> spares;
};

/// Redundancy as it stands, not as configured.
struct Redundancy
{
    /// Live voters that have synced every committed entry, by availability zone.
    std::map<ZoneName, std::size_t> syncedVoters;
    /// Voters that may be lost now without losing the group.
    std::size_t faultsTolerated = 0;
    /// The group survives the loss of any one availability zone now.
    bool survivesZoneLoss = false;
};

/// Works out the redundancy from the leader's status.
Redundancy redundancy(const NodeStatus &status);

} // namespace acaciafork::consensus
