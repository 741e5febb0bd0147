#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "acaciafork/consensus/Message.h"

namespace acaciafork::consensus {

/// Identifies a pending linearizable read.
using ReadTicket = NumericId<struct ReadTicketTag>;

/// Result of Node::readBarrier().
struct ReadResult
{
    ReadTicket ticket;
    /// True when the applied state may be read; false when the member has lost its leadership.
    bool ready = false;
};

/// Work for the driver of a node. The driver sends the messages, syncs the writes, calls
/// Node::synced(), applies the committed entries and then answers the reads.
struct NodeOutput
{
    /// Messages that may be sent before the writes of this output are synced.
    std::vector<Message> messages;
    /// Term and vote to be synced.
    std::optional<HardState> hardState;
    /// Entries to be synced. Stored entries from the first one's index on are replaced.
    std::vector<Entry> entries;
    /// Chunks of the snapshot that is being fetched, in order. The last chunk completes it.
    std::vector<SnapshotChunk> snapshotChunks;
    /// Snapshot requests of other members, to be answered from the stored snapshot.
    std::vector<Message> fetches;
    /// Entries to be applied, in order.
    std::vector<Entry> committed;
    /// Reads to be answered once the committed entries are applied.
    std::vector<ReadResult> reads;

    /// True when there is a write to sync.
    [[nodiscard]] bool hasWrites() const { return hardState.has_value() || !entries.empty(); }
    /// True when there is nothing to do.
    [[nodiscard]] bool empty() const
    {
        return messages.empty() && !hasWrites() && snapshotChunks.empty() && fetches.empty()
                && committed.empty() && reads.empty();
    }
};

} // namespace acaciafork::consensus
