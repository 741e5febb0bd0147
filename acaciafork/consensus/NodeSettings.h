#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"

namespace acaciafork::consensus {

/// Timing and sizes of the agreement, the same on every member of a group.
struct NodeSettings
{
    /// Silence of the leader after which a voter may call an election; drawn in [least, most].
    Duration minElectionTimeout = std::chrono::milliseconds(300);
    Duration maxElectionTimeout = std::chrono::milliseconds(600);
    /// Pause between two heartbeats.
    Duration heartbeatInterval = std::chrono::milliseconds(60);
    /// Most that two members' clocks may differ in rate, in percent.
    std::int64_t clockRateMarginPercent = 1;
    /// How long the leader waits for a leadership transfer before it accepts proposals again.
    Duration transferTimeout = std::chrono::milliseconds(600);
    /// Most payload bytes of one append message.
    std::int64_t appendBytes = 256LL * 1024;
    /// Most append messages, and their payload bytes, unanswered by one follower.
    std::int64_t inflightMessages = 64;
    std::int64_t inflightBytes = 2LL * 1024 * 1024;
    /// Most proposals waiting to be committed before new ones are refused.
    std::int64_t uncommittedBytes = 16LL * 1024 * 1024;
    /// A learner votes once it has synced all but this many entries.
    std::int64_t promoteLag = 100;
    /// Entries applied since the last snapshot that cause the next one.
    std::int64_t snapshotEntries = 10'000;
    /// Entries applied since the last snapshot that cause the next one even while a member still
    /// fetches that one.
    std::int64_t deferredSnapshotEntries = 100'000;
    /// How long after its last piece a snapshot counts as still being fetched.
    Duration snapshotFetchTimeout = std::chrono::seconds(2);
    /// Pause before a disk without room is tried again.
    Duration diskFullRetryInterval = std::chrono::milliseconds(500);
    /// Entries kept behind a snapshot for followers that lag.
    std::int64_t trailingEntries = 2'000;
    /// Bytes of one piece of a snapshot, and how long a fetch waits before it asks again.
    std::int64_t snapshotChunkBytes = 128LL * 1024;
    Duration snapshotRetry = std::chrono::milliseconds(200);

    /// Pause between two greetings of a process that has no group yet.
    Duration helloInterval = std::chrono::milliseconds(200);
    /// How long a follower may take to feed a learner its snapshot before the leader does it.
    Duration followerSnapshotTimeout = std::chrono::seconds(10);
    /// Learners fetch their snapshot from a follower in place of the leader.
    bool snapshotFromFollower = false;

    /// How long after an acknowledged heartbeat was sent the leader may serve reads.
    [[nodiscard]] Duration leaseLength() const
    {
        return minElectionTimeout * (100 - clockRateMarginPercent) / (100 + clockRateMarginPercent);
    }
};

} // namespace acaciafork::consensus
