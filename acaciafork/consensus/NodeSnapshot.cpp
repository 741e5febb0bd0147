#include <algorithm>

#include "acaciafork/consensus/Node.h"

// Snapshot transfer: the leader names a source, and the member fetches chunk by chunk.

namespace acaciafork::consensus {

ProcessId Node::snapshotSource(ProcessId learner, const Progress &progress, Timestamp now) const
{
    // The leader takes over when a follower is too slow or its snapshot is too old.
    const bool withinTimeout =
            now - progress.snapshotNeededSince < m_settings.followerSnapshotTimeout;
    if (!m_settings.snapshotFromFollower || !withinTimeout)
        return m_identity.self;
    for (const auto &[id, it] : m_progress) {
        const bool live = now - it.lastHeardAt < m_settings.maxElectionTimeout;
        if (id != learner && live && membership().isVoter(id) && it.match >= m_snapshotIndex)
            return id;
    }
    return m_identity.self;
}

bool Node::hasSnapshotReceiver(Timestamp now) const
{
    return std::ranges::any_of(m_progress, [&](const auto &it) {
        return it.second.state == ProgressState::Snapshot
                && now - it.second.lastHeardAt < m_settings.snapshotFetchTimeout;
    });
}

void Node::offerSnapshot(Timestamp now, ProcessId id, Progress &progress)
{
    if (progress.state != ProgressState::Snapshot) {
        progress.probeFrom(progress.next);
        progress.state = ProgressState::Snapshot;
        progress.snapshotNeededSince = now;
    }
    // Offers replace heartbeats while the member needs a snapshot.
    if (now - progress.sentAt < m_settings.heartbeatInterval)
        return;
    progress.sentAt = now;
    send(id, m_hardState.term,
         SnapshotOffer { .source = snapshotSource(id, progress, now),
                         .index = m_snapshotIndex,
                         .sentAt = now });
}

void Node::onSnapshotOffer(Timestamp now, const Message &message, const SnapshotOffer &offer)
{
    if (m_role == Role::Leader)
        return;
    followLeader(now, message);
    // Tells the leader from which entry it may continue replication.
    send(message.from, m_hardState.term,
         AppendReply { .accepted = false,
                       .match = std::min(m_commit, m_durable),
                       .rejectedPrev = 0,
                       .sentAt = offer.sentAt,
                       .full = m_diskFull });
    if (offer.index <= m_commit) {
        m_fetch.reset();
        return;
    }
    if (m_fetch && m_fetch->source == offer.source)
        return;

    // Chunks fetched before a restart or from another source are kept if the snapshot is the same.
    Fetch fetch { .source = offer.source, .meta = {}, .received = 0, .requestedAt = now };
    if (m_fetch) {
        fetch.meta = m_fetch->meta;
        fetch.received = m_fetch->received;
    } else if (m_partial) {
        fetch.meta = m_partial->meta;
        fetch.received = m_partial->received;
    }
    m_fetch = fetch;
    requestSnapshot(now);
}

void Node::requestSnapshot(Timestamp now)
{
    m_fetch->requestedAt = now;
    send(m_fetch->source, m_hardState.term,
         SnapshotFetch { .index = m_fetch->meta.index,
                         .checksum = m_fetch->meta.checksum,
                         .offset = m_fetch->received });
}

void Node::onSnapshotChunk(Timestamp now, const Message &message, SnapshotChunk &chunk)
{
    if (!m_fetch || message.from != m_fetch->source)
        return;
    if (chunk.meta.index <= m_commit || chunk.offset + chunk.data.size() > chunk.meta.size)
        return;

    // A follower that sends a snapshot may be ahead of the leader that named it. The new term must
    // be synced before entries of that term are accepted.
    if (chunk.meta.term > m_hardState.term)
        becomeFollower(now, chunk.meta.term, {});

    // The source now has a different snapshot: the fetch starts over with that one.
    const bool same = chunk.meta.index == m_fetch->meta.index
            && chunk.meta.checksum == m_fetch->meta.checksum;
    if (!same) {
        if (chunk.offset != 0)
            return;
        m_fetch->meta = chunk.meta;
        m_fetch->received = 0;
    }
    if (chunk.offset != m_fetch->received)
        return;
    m_fetch->received += chunk.data.size();
    const bool complete = m_fetch->received == m_fetch->meta.size;
    m_output.snapshotChunks.push_back(std::move(chunk));
    if (!complete)
        requestSnapshot(now);
    else
        m_fetch->requestedAt = now;
}

bool Node::covers(const SnapshotMeta &meta) const
{
    return m_log.termAt(meta.index) == meta.term && m_durable >= meta.index;
}

void Node::snapshotInstalled(Timestamp /*now*/, const SnapshotMeta &meta)
{
    m_fetch.reset();
    m_partial.reset();
    if (meta.index <= m_commit)
        return;

    const bool keepLog = covers(meta);
    if (!keepLog) {
        m_log.reset(meta.index, meta.term);
        m_lastSubmitted = meta.index;
        m_durable = meta.index;
        m_memberships.clear();
    }
    std::erase_if(m_memberships, [&](const MembershipAt &it) { return it.index <= meta.index; });
    m_memberships.insert(m_memberships.begin(),
                         { .index = meta.index, .membership = meta.membership });
    noteCommitted(meta.membership);
    m_commit = meta.index;
    m_applied = meta.index;
    m_snapshotIndex = meta.index;
    m_matched = std::max(m_matched, meta.index);
    m_replyPending = true;
}

void Node::snapshotRejected(Timestamp now)
{
    m_partial.reset();
    if (!m_fetch)
        return;
    m_fetch->meta = {};
    m_fetch->received = 0;
    m_fetch->requestedAt = now;
}

} // namespace acaciafork::consensus
