#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::consensus {

/// Identity of a data folder, chosen at random when the folder is formatted.
using FolderId = NumericId<struct FolderTag>;

/// One member of the quorum group.
struct Member
{
    ProcessId id;
    ZoneName zone;
    /// False for a learner, which receives the log but does not count towards a quorum.
    bool voter = false;
    /// Data folder that the member joined with. Messages from this id with another folder are
    /// dropped.
    FolderId folder;
    /// Member to be removed once this one is a voter; 0 for none.
    ProcessId replaces;

    bool operator==(const Member &) const = default;
};

/// Members of the group as of one position in the log.
struct Membership
{
    std::vector<Member> members;
    /// Ids of removed members; they are never reused.
    std::vector<ProcessId> retired;

    bool operator==(const Membership &) const = default;

    /// The member with that id, or null.
    [[nodiscard]] const Member *find(ProcessId id) const;
    /// The member with that id, or null.
    Member *find(ProcessId id);
    /// True when the id belongs to a voter.
    [[nodiscard]] bool isVoter(ProcessId id) const;
    /// True when the id belongs to a removed member.
    [[nodiscard]] bool isRetired(ProcessId id) const;
    /// Number of voters.
    [[nodiscard]] std::size_t voterCount() const;
    /// Number of voters that form a majority.
    [[nodiscard]] std::size_t quorum() const { return voterCount() / 2 + 1; }
    /// Removes a member and retires its id.
    void remove(ProcessId id);
};

/// Serializes a membership for an entry of kind EntryKind::Membership.
std::string encodeMembership(const Membership &membership);

/// Parses encodeMembership() bytes. Fails with FailureKind::Corrupt.
Result<Membership> decodeMembership(std::string_view bytes);

} // namespace acaciafork::consensus
