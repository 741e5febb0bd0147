#pragma once

#include <deque>

#include "acaciafork/consensus/Entry.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::consensus {

/// Time before any other; far enough from the limits of the clock type that differences don't
/// overflow.
inline constexpr Timestamp distantPast = timestampFromMicroseconds(INT64_MIN / 4);

/// How the leader replicates to one member.
enum class ProgressState : std::uint8_t {
    Probe, ///< one message at a time, until the last matching entry is known
    Replicate, ///< several messages are sent before they are answered
    Snapshot, ///< the member needs entries that the leader has removed by compaction
};

/// Replication state of one other member, kept by the leader.
struct Progress
{
    /// An append message that has not been answered yet.
    struct Inflight
    {
        LogIndex last = 0;
        std::size_t bytes = 0;
    };

    /// Last entry that the member has synced.
    LogIndex match = 0;
    /// First entry of the next append message.
    LogIndex next = 1;
    ProgressState state = ProgressState::Probe;
    std::deque<Inflight> inflight;
    std::size_t inflightBytes = 0;
    /// When the latest message that the member has answered was sent.
    Timestamp ackedSentAt = distantPast;
    /// When the last message from the member arrived.
    Timestamp lastHeardAt = distantPast;
    /// When a probe, heartbeat or offer was last sent.
    Timestamp sentAt = distantPast;
    /// Time since which the member has needed a snapshot.
    Timestamp snapshotNeededSince = distantPast;
    /// The member's disk is full.
    bool full = false;
    /// Index of the entry that removed the member; 0 while it is in the group.
    LogIndex removalIndex = 0;
    Timestamp removedAt = distantPast;

    /// Records that an append message with entries up to `last` was sent.
    void sent(LogIndex last, std::size_t bytes);
    /// Records that the member has acknowledged all entries up to `index`.
    void acknowledged(LogIndex index);
    /// Searches again for the last matching entry, with `from` as the next entry to send.
    void probeFrom(LogIndex from);
};

} // namespace acaciafork::consensus
