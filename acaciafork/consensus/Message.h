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

/// Describes one snapshot; two with the same index and checksum hold the same bytes.
struct SnapshotMeta
{
    /// Last entry that the snapshot covers.
    LogIndex index = 0;
    Term term = 0;
    Membership membership;
    /// Size of the state machine's bytes.
    std::uint64_t size = 0;
    /// XXH3 of the state machine's bytes.
    std::uint64_t checksum = 0;
};

/// Candidate asks for a vote.
struct VoteRequest
{
    /// Only asks whether a vote would be given; nobody's term changes.
    bool preVote = false;
    /// Sent at the leader's own wish: a voter need not wait until the leader is silent.
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

/// Leader sends entries; without entries it is the heartbeat.
struct AppendRequest
{
    LogIndex prevIndex = 0;
    Term prevTerm = 0;
    LogIndex commit = 0;
    /// Leader's clock at sending, echoed in the reply.
    Timestamp sentAt;
    std::vector<Entry> entries;
};

/// Answer to AppendRequest and SnapshotOffer.
struct AppendReply
{
    bool accepted = false;
    /// Last entry known to equal the leader's and synced; when refused, a place to try next.
    LogIndex match = 0;
    /// AppendRequest::prevIndex that was refused.
    LogIndex rejectedPrev = 0;
    Timestamp sentAt;
    /// The follower's disk has no room for more entries.
    bool full = false;
};

/// Leader names the member to fetch a snapshot from.
struct SnapshotOffer
{
    ProcessId source;
    LogIndex index = 0;
    Timestamp sentAt;
};

/// Asks for the bytes of a snapshot from an offset on; index 0 asks for the latest.
struct SnapshotFetch
{
    LogIndex index = 0;
    std::uint64_t checksum = 0;
    std::uint64_t offset = 0;
};

/// Piece of a snapshot.
struct SnapshotChunk
{
    SnapshotMeta meta;
    std::uint64_t offset = 0;
    std::string data;
};

/// Leader asks a caught-up voter to start an election at once.
struct TimeoutNow
{ };

/// A process without a place in the group shows itself, and members answer with the membership.
struct Hello
{
    ZoneName zone;
    std::optional<Membership> membership;
};

/// One message between two members. It may be lost, repeated or overtaken.
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
