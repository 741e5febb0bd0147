#include "acaciafork/consensus/Node.h"

#include <algorithm>

namespace acaciafork::consensus {

Node::Node(NodeSettings settings, NodeIdentity identity, RecoveredState recovered, Timestamp now,
           std::uint64_t seed)
    : m_settings(settings)
    , m_identity(std::move(identity))
    , m_folder(recovered.folder)
    , m_random(seed)
    , m_hardState(recovered.hardState)
    , m_log(recovered.baseIndex, recovered.baseTerm, std::move(recovered.entries))
    , m_commit(recovered.snapshot.index)
    , m_applied(recovered.snapshot.index)
    , m_lastSubmitted(m_log.lastIndex())
    , m_durable(m_log.lastIndex())
    , m_snapshotIndex(recovered.snapshot.index)
    // Before the restart this member may have acknowledged a leader's lease. It therefore starts no
    // election and grants no vote until the shortest election timeout has passed.
    , m_heardLeaderAt(now)
    , m_partial(std::move(recovered.partial))
    , m_nextHello(now)
{
    ACACIAFORK_ASSERT(m_log.lastIndex() >= m_snapshotIndex);
    m_memberships.push_back({ .index = recovered.snapshot.index,
                              .membership = std::move(recovered.snapshot.membership) });
    noteCommitted(membership());
    for (LogIndex it = std::max(m_log.baseIndex(), m_snapshotIndex) + 1; it <= m_log.lastIndex();
         ++it)
        pushMembership(m_log.at(it));
    compactLog();
    resetElectionDeadline(now);
}

void Node::tick(Timestamp now)
{
    if (m_displaced)
        return;
    if (m_fetch && now >= m_fetch->requestedAt + m_settings.snapshotRetry)
        requestSnapshot(now);
    if (mayBeOutside(now))
        sendHellos(now);
    if (membership().members.empty())
        return;
    if (m_role == Role::Leader) {
        tickLeader(now);
        return;
    }
    if (now < m_electionDeadline)
        return;
    resetElectionDeadline(now);
    if (membership().isVoter(m_identity.self) && !m_diskFull)
        becomePreCandidate(now);
}

void Node::receive(Timestamp now, Message message)
{
    if (message.to != m_identity.self || message.from == m_identity.self)
        return;
    // Hello and snapshot transfer messages need no check of the term.
    if (const auto *hello = std::get_if<Hello>(&message.body)) {
        onHello(now, message, *hello);
        return;
    }
    if (hasWrongFolder(message))
        return;
    // A removed member that missed its removal keeps requesting votes until it learns of it.
    if (std::holds_alternative<VoteRequest>(message.body)
        && membershipAt(m_commit).isRetired(message.from)) {
        sendMembership(message.from);
        return;
    }
    if (std::holds_alternative<SnapshotFetch>(message.body)) {
        m_output.fetches.push_back(std::move(message));
        return;
    }
    if (auto *chunk = std::get_if<SnapshotChunk>(&message.body)) {
        onSnapshotChunk(now, message, *chunk);
        return;
    }

    if (!acceptTerm(now, message))
        return;
    if (const auto *request = std::get_if<VoteRequest>(&message.body))
        onVoteRequest(now, message, *request);
    else if (const auto *reply = std::get_if<VoteReply>(&message.body))
        onVoteReply(now, message, *reply);
    else if (auto *append = std::get_if<AppendRequest>(&message.body))
        onAppendRequest(now, message, *append);
    else if (const auto *answer = std::get_if<AppendReply>(&message.body))
        onAppendReply(now, message, *answer);
    else if (const auto *offer = std::get_if<SnapshotOffer>(&message.body))
        onSnapshotOffer(now, message, *offer);
    else if (std::holds_alternative<TimeoutNow>(message.body) && message.from == m_leader
             && membership().isVoter(m_identity.self))
        becomeCandidate(now, true);
}

bool Node::hasWrongFolder(const Message &message) const
{
    // A member that lost its data folder has lost its votes as well, so messages under its old id
    // are ignored.
    const Member *member = membership().find(message.from);
    return member != nullptr && member->folder != message.fromFolder;
}

NodeOutput Node::takeOutput(Timestamp now, bool durableOnly)
{
    if (m_role == Role::Leader)
        replicate(now);
    // Retries writes to a full disk periodically.
    if (m_diskFull && now >= m_diskFullRetryAt)
        m_diskFull = false;
    // Entries that are still to be synced are acknowledged together after the sync.
    const bool awaitsSync = m_isWriting || m_lastSubmitted < m_log.lastIndex();
    if (m_replyPending && (m_diskFull || !awaitsSync || now >= m_replyBy))
        sendAcknowledgement();
    if (!m_isWriting)
        takeWrites();

    const LogIndex applicable = durableOnly ? std::min(m_commit, m_durable) : m_commit;
    if (m_applied < applicable) {
        m_output.committed = m_log.slice(m_applied + 1, applicable, SIZE_MAX);
        m_applied = applicable;
    }
    if (m_role == Role::Leader)
        resolveReads(now);
    return std::exchange(m_output, {});
}

void Node::takeWrites()
{
    m_submittedState.reset();
    if (m_diskFull)
        return;
    if (m_hardStateDirty) {
        m_output.hardState = m_hardState;
        m_submittedState = m_hardState;
        m_messagesOfWrite = std::exchange(m_messagesAwaitingSync, {});
    }
    if (m_lastSubmitted < m_log.lastIndex()) {
        m_output.entries = m_log.slice(m_lastSubmitted + 1, m_log.lastIndex(), SIZE_MAX);
        m_lastSubmitted = m_log.lastIndex();
    }
    m_isWriting = m_output.hasWrites();
}

void Node::synced(Timestamp now)
{
    ACACIAFORK_ASSERT(m_isWriting);
    m_isWriting = false;
    std::ranges::move(m_messagesOfWrite, std::back_inserter(m_output.messages));
    m_messagesOfWrite.clear();
    // The term or the vote may have changed again while the write was in progress.
    if (m_submittedState == m_hardState) {
        m_hardStateDirty = false;
        std::ranges::move(m_messagesAwaitingSync, std::back_inserter(m_output.messages));
        m_messagesAwaitingSync.clear();
    }
    if (m_durable != m_lastSubmitted) {
        m_durable = m_lastSubmitted;
        if (m_role == Role::Follower)
            sendAcknowledgement();
    }

    // This member's own vote and its own copy of the log count only after the sync.
    if (m_role == Role::Candidate && !m_hardStateDirty && m_votes.insert(m_identity.self).second)
        countVotes(now);
    if (m_role == Role::Leader)
        advanceCommit(now);
}

void Node::writeFailed(Timestamp now, bool full)
{
    m_isWriting = false;
    // Messages that wait for the sync are dropped; the protocol tolerates lost messages.
    m_messagesOfWrite.clear();
    m_messagesAwaitingSync.clear();
    m_lastSubmitted = m_durable;
    if (full && !m_diskFull && now - m_diskFullRetryAt > m_settings.diskFullRetryInterval)
        m_diskFullSince = now;
    m_diskFull = full;
    m_diskFullRetryAt = now + m_settings.diskFullRetryInterval;
}

void Node::send(ProcessId to, Term term, Message::Body body)
{
    auto &queue = m_hardStateDirty ? m_messagesAwaitingSync : m_output.messages;
    queue.push_back({ .from = m_identity.self,
                      .to = to,
                      .fromFolder = m_folder,
                      .term = term,
                      .body = std::move(body) });
}

SnapshotMeta Node::describeSnapshot() const
{
    return { .index = m_applied,
             .term = m_log.termAt(m_applied).value_or(0),
             .membership = membershipAt(m_applied),
             .size = 0,
             .checksum = 0 };
}

const Membership &Node::membershipAt(LogIndex index) const
{
    auto it = m_memberships.rbegin();
    while (it->index > index && std::next(it) != m_memberships.rend())
        ++it;
    return it->membership;
}

void Node::snapshotStored(const SnapshotMeta &meta)
{
    m_snapshotIndex = std::max(m_snapshotIndex, meta.index);

    compactLog();

    // Memberships before the snapshot are committed and superseded, so no truncation restores them.
    while (m_memberships.size() > 1 && m_memberships[1].index <= m_snapshotIndex)
        m_memberships.erase(m_memberships.begin());
}

void Node::compactLog()
{
    // Some entries that the snapshot covers are kept, so that a follower that lags a little does
    // not need the snapshot.
    const LogIndex first = m_log.firstWithin(m_snapshotIndex,
                                             static_cast<std::uint64_t>(m_settings.trailingEntries),
                                             static_cast<std::uint64_t>(m_settings.trailingBytes));
    const LogIndex base = std::min(first - 1, m_durable);
    if (base > m_log.baseIndex())
        m_log.compactTo(base);
}

std::uint64_t Node::bytesSinceSnapshot() const
{
    return m_log.bytesUpTo(m_applied) - m_log.bytesUpTo(std::min(m_snapshotIndex, m_applied));
}

Standing Node::standing() const
{
    if (m_displaced)
        return Standing::Displaced;
    const Member *self = membership().find(m_identity.self);
    if (self == nullptr)
        return Standing::Outside;
    return self->voter ? Standing::Voter : Standing::Learner;
}

NodeStatus Node::status(Timestamp now) const
{
    NodeStatus status { .role = m_role,
                        .term = m_hardState.term,
                        .leader = m_leader,
                        .commit = m_commit,
                        .last = m_log.lastIndex(),
                        .durable = m_durable,
                        .snapshot = m_snapshotIndex,
                        .standing = standing(),
                        .membership = membership(),
                        .committedMembership = membershipAt(m_commit),
                        .members = {},
                        .spares = {} };
    if (m_role != Role::Leader)
        return status;

    for (const Member &it : membership().members) {
        MemberStatus member { .member = it, .match = m_durable, .live = true, .full = m_diskFull };
        if (const auto found = m_progress.find(it.id); found != m_progress.end()) {
            member.match = found->second.match;
            member.live = now - found->second.lastHeardAt < m_settings.maxElectionTimeout;
            member.full = found->second.full;
        }
        status.members.push_back(std::move(member));
    }
    for (const auto &[id, spare] : m_helloSenders) {
        if (membership().find(id) == nullptr && !membership().isRetired(id))
            status.spares.push_back(spare);
    }
    return status;
}

} // namespace acaciafork::consensus
