#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "acaciafork/consensus/Message.h"

namespace acaciafork::consensus {

/// Number of a read that waits for its barrier.
using ReadTicket = NumericId<struct ReadTicketTag>;

/// Outcome of a read barrier.
struct ReadResult
{
    ReadTicket ticket;
    /// The state applied so far may be read; otherwise the member has lost its leadership.
    bool ready = false;
};

/// Everything that a node asks its driver to do. The driver sends the messages, syncs the writes,
/// reports them by Node::synced(), applies the committed entries, then answers the reads.
struct NodeOutput
{
    /// Messages that need no write of this output to be synced.
    std::vector<Message> messages;
    /// Term and vote to be synced.
    std::optional<HardState> hardState;
    /// Entries to be synced; the first one supersedes everything stored from its index on.
    std::vector<Entry> entries;
    /// Pieces of a snapshot being fetched, in order; the last one completes it.
    std::vector<SnapshotChunk> snapshotChunks;
    /// Fetches by other members, to be answered from the stored snapshot.
    std::vector<Message> fetches;
    /// Entries to be applied, in order.
    std::vector<Entry> committed;
    /// Reads to be answered once the committed entries are applied.
    std::vector<ReadResult> reads;

    /// True when something has to be synced.
    [[nodiscard]] bool hasWrites() const { return hardState.has_value() || !entries.empty(); }
    /// True when there is nothing to do.
    [[nodiscard]] bool empty() const
    {
        return messages.empty() && !hasWrites() && snapshotChunks.empty() && fetches.empty()
                && committed.empty() && reads.empty();
    }
};

} // namespace acaciafork::consensus
