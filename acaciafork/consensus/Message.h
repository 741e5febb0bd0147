#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acaciafork/consensus/Entry.h"
#include "acaciafork/consensus/Membership.h"

namespace acaciafork::consensus {

/// Describes one snapshot. Snapshots with the same index and checksum have the same content.
struct SnapshotMeta
{
    /// Index of the last entry that the snapshot covers.
    LogIndex index = 0;
    Term term = 0;
    Membership membership;
    /// Size of the serialized state machine in bytes.
    std::uint64_t size = 0;
    /// XXH3 checksum of the serialized state machine.
    std::uint64_t checksum = 0;
};

/// Requests a vote for a candidate.
struct VoteRequest
{
    /// Only asks whether the vote would be granted; no member changes its term.
    bool preVote = false;
    /// The leader itself asked for this election: voters grant the vote even while they still hear
    /// from the leader.
    bool force = false;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
};

/// Answer to VoteRequest.
struct VoteReply
{
    bool preVote = false;
    bool granted = false;
};

/// Entries from the leader; a message without entries is a heartbeat.
struct AppendRequest
{
    LogIndex prevIndex = 0;
    Term prevTerm = 0;
    LogIndex commit = 0;
    /// Time of sending on the leader's clock; echoed in the reply.
    Timestamp sentAt;
    std::vector<Entry> entries;
};

/// Answer to AppendRequest and SnapshotOffer.
struct AppendReply
{
    bool accepted = false;
    /// When accepted, the last entry that matches the leader's log and is synced; when refused, the
    /// last entry that may match.
    LogIndex match = 0;
    /// AppendRequest::prevIndex of the refused request.
    LogIndex rejectedPrev = 0;
    Timestamp sentAt;
    /// The follower's disk is full, so it takes no more entries.
    bool full = false;
};

/// Names the member that the receiver should fetch a snapshot from; sent by the leader.
struct SnapshotOffer
{
    ProcessId source;
    LogIndex index = 0;
    Timestamp sentAt;
};

/// Requests the snapshot chunk at an offset; index 0 requests the latest snapshot.
struct SnapshotFetch
{
    LogIndex index = 0;
    std::uint64_t checksum = 0;
    std::uint64_t offset = 0;
};

/// Part of a snapshot.
struct SnapshotChunk
{
    SnapshotMeta meta;
    std::uint64_t offset = 0;
    std::string data;
};

/// Sent by the leader: tells an up-to-date voter to start an election immediately.
struct TimeoutNow
{ };

/// Announces a process that is not in the group, or can't tell whether it still is. Members answer
/// with their membership.
struct Hello
{
    ZoneName zone;
    /// Set in an answer only.
    std::optional<Membership> membership;
    /// The membership is committed, so that no election can undo it.
    bool committed = false;
    /// The sender has a membership of its own, so that a group exists.
    bool hasState = false;
};

/// One message between two members. It may be lost, duplicated or reordered.
struct Message
{
    using Body = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotOffer,
                              SnapshotFetch, SnapshotChunk, TimeoutNow, Hello>;

    ProcessId from;
    ProcessId to;
    FolderId fromFolder;
    Term term = 0;
    Body body;
};

} // namespace acaciafork::consensus
