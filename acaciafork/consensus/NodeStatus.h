#pragma once

#include <map>
#include <vector>

#include "acaciafork/consensus/Membership.h"
#include "acaciafork/consensus/Progress.h"

namespace acaciafork::consensus {

/// Role of a member in the current term.
enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Stable lower-case name of a role.
std::string_view roleName(Role role);

/// Place of a process in the group, by the memberships that it knows.
enum class Standing : std::uint8_t {
    Voter,
    Learner,
    /// Its latest membership does not name it, or it has none.
    Outside,
    /// A committed membership has removed its id, or has given it to another data folder.
    Displaced
};

/// Stable lower-case name of a standing.
std::string_view standingName(Standing standing);

/// State of one member as known to the leader, which is included itself.
struct MemberStatus
{
    Member member;
    /// Last entry that the member has synced.
    LogIndex match = 0;
    /// The member has answered within the longest election timeout.
    bool live = false;
    /// The member's disk is full.
    bool full = false;
};

/// A process with an empty data folder that could become a member.
struct Spare
{
    ProcessId id;
    ZoneName zone;
    FolderId folder;
    Timestamp lastHeardAt;
};

/// State of a node, shown to operators.
struct NodeStatus
{
    Role role = Role::Follower;
    Term term = 0;
    ProcessId leader;
    LogIndex commit = 0;
    LogIndex last = 0;
    LogIndex durable = 0;
    LogIndex snapshot = 0;
    /// A displaced process must rejoin with a new id and an empty folder.
    Standing standing = Standing::Outside;
    /// Membership of the latest log entry that sets one, and of the latest committed one.
    Membership membership;
    Membership committedMembership;
    /// Filled on the leader only.
    std::vector<MemberStatus> members;
    /// Processes that could become members; filled on the leader only.
    std::vector<Spare> spares;
};

/// Redundancy as observed, not as configured.
struct Redundancy
{
    /// Live voters that have synced every committed entry, by availability zone.
    std::map<ZoneName, std::size_t> syncedVoters;
    /// Number of voters that may fail now without loss of the quorum.
    std::size_t faultsTolerated = 0;
    /// True when a quorum survives the loss of any one availability zone now.
    bool survivesZoneLoss = false;
};

/// Computes the redundancy from the leader's status; empty for any other member.
Redundancy redundancy(const NodeStatus &status);

} // namespace acaciafork::consensus
