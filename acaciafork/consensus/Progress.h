#pragma once

#include <deque>

#include "acaciafork/consensus/Entry.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::consensus {

/// Moment before every other, far enough from the clock's ends to be subtracted from.
inline constexpr Timestamp distantPast = timestampFromMicroseconds(INT64_MIN / 4);

/// How the leader feeds one member.
enum class ProgressState : std::uint8_t {
    Probe, ///< one message at a time, until the place where the logs meet is known
    Replicate, ///< messages sent ahead of their answers
    Snapshot, ///< the member needs entries that the leader has compacted
};

/// What the leader knows of one other member.
struct Progress
{
    /// One append message not yet answered.
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
    /// Send time of the latest message that the member answered.
    Timestamp ackedSentAt = distantPast;
    /// When the member was last heard.
    Timestamp lastHeardAt = distantPast;
    /// When a probe, heartbeat or offer was last sent.
    Timestamp sentAt = distantPast;
    /// When the member began to need a snapshot.
    Timestamp snapshotNeededSince = distantPast;
    /// The member's disk has no room.
    bool full = false;
    /// Entry that removed the member; 0 while it belongs to the group.
    LogIndex removalIndex = 0;
    Timestamp removedAt = distantPast;

    /// Notes entries sent ahead of their answer.
    void sent(LogIndex last, std::size_t bytes);
    /// Takes in an acknowledgement up to `index`.
    void acknowledged(LogIndex index);
    /// Goes back to finding where the logs meet, starting at `from`.
    void probeFrom(LogIndex from);
};

} // namespace acaciafork::consensus
