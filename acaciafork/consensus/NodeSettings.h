#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"

namespace acaciafork::consensus {

/// Timing and size limits of the consensus algorithm; they must be the same on every member.
struct NodeSettings
{
    /// A voter starts an election after no message from the leader for a random time in this range.
    Duration minElectionTimeout = std::chrono::milliseconds(300);
    Duration maxElectionTimeout = std::chrono::milliseconds(600);
    /// Interval between heartbeats.
    Duration heartbeatInterval = std::chrono::milliseconds(60);
    /// Maximum difference in rate between two members' clocks, in percent.
    std::int64_t clockRateMarginPercent = 1;
    /// How long the leader waits for a leadership transfer before it accepts proposals again.
    Duration transferTimeout = std::chrono::milliseconds(600);
    /// Maximum payload bytes of one append message.
    std::int64_t appendBytes = 256LL * 1024;
    /// Maximum number of unanswered append messages to one follower, and of their payload bytes.
    std::int64_t inflightMessages = 64;
    std::int64_t inflightBytes = 2LL * 1024 * 1024;
    /// Maximum payload bytes of uncommitted entries; further proposals are refused.
    std::int64_t uncommittedBytes = 16LL * 1024 * 1024;
    /// A learner becomes a voter once it has synced all but this many entries.
    std::int64_t promoteLag = 100;
    /// Number of entries applied since the last snapshot after which the next one is stored.
    std::int64_t snapshotEntries = 10'000;
    /// Number of entries after which the next snapshot is stored even while a member still fetches
    /// the last one.
    std::int64_t deferredSnapshotEntries = 100'000;
    /// Memory of entries applied since the last snapshot after which the next one is stored, or the
    /// size of that snapshot if it is larger: storing snapshots costs no more than the log then.
    /// Four times as much while a member still fetches the last one.
    std::int64_t logBytes = 16LL * 1024 * 1024;
    /// How long after the last message from its receiver a snapshot counts as still being fetched.
    Duration snapshotFetchTimeout = std::chrono::seconds(2);
    /// Interval between attempts to write to a full disk.
    Duration diskFullRetryInterval = std::chrono::milliseconds(500);
    /// Number of entries covered by a snapshot that are kept for followers that lag, and their
    /// memory.
    std::int64_t trailingEntries = 2'000;
    std::int64_t trailingBytes = 4LL * 1024 * 1024;
    /// Size of a snapshot chunk in bytes, and how long a fetch waits before it repeats a request.
    std::int64_t snapshotChunkBytes = 128LL * 1024;
    Duration snapshotRetry = std::chrono::milliseconds(200);

    /// Interval between Hello messages of a process that is not in a group yet.
    Duration helloInterval = std::chrono::milliseconds(200);
    /// A member that has not heard from a leader for so long asks by Hello whether it was removed.
    Duration helloSilence = std::chrono::milliseconds(1200);
    /// How long a follower may take to send a learner its snapshot before the leader sends it.
    Duration followerSnapshotTimeout = std::chrono::seconds(10);
    /// Learners fetch their snapshot from a follower instead of the leader.
    bool snapshotFromFollower = false;

    /// How long after sending an acknowledged heartbeat the leader may serve reads. Clock rates may
    /// differ by clockRateMarginPercent, so the lease is shorter than the election timeout.
    [[nodiscard]] Duration leaseLength() const
    {
        return minElectionTimeout * (100 - clockRateMarginPercent) / (100 + clockRateMarginPercent);
    }
};

} // namespace acaciafork::consensus
