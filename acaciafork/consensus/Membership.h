#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::consensus {

/// Identity of one data folder, drawn when the folder is formatted.
using FolderId = NumericId<struct FolderTag>;

/// One member of the quorum group.
struct Member
{
    ProcessId id;
    ZoneName zone;
    /// A learner (false) receives the log and counts in no quorum.
    bool voter = false;
    /// Folder that the member joined with; messages of the same id with another one are dropped.
    FolderId folder;
    /// Member that is removed once this one votes; none when 0.
    ProcessId replaces;

    bool operator==(const Member &) const = default;
};

/// Members of the group at one position of the log.
struct Membership
{
    std::vector<Member> members;
    /// Ids of members that left; they are never used again.
    std::vector<ProcessId> retired;

    bool operator==(const Membership &) const = default;

    /// The member of that id, or null.
    [[nodiscard]] const Member *find(ProcessId id) const;
    /// The member of that id, or null.
    Member *find(ProcessId id);
    /// True when the id votes.
    [[nodiscard]] bool isVoter(ProcessId id) const;
    /// True when the id has left for good.
    [[nodiscard]] bool isRetired(ProcessId id) const;
    /// How many members vote.
    [[nodiscard]] std::size_t voterCount() const;
    /// How many voters make a majority.
    [[nodiscard]] std::size_t quorum() const { return voterCount() / 2 + 1; }
    /// Takes a member out and retires its id.
    void remove(ProcessId id);
};

/// Bytes of a membership, as they stand in entries, snapshots and messages.
std::string encodeMembership(const Membership &membership);

/// Parses encodeMembership() bytes. Fails with FailureKind::Corrupt.
Result<Membership> decodeMembership(std::string_view bytes);

} // namespace acaciafork::consensus
