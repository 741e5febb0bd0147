#include <algorithm>

#include "acaciafork/consensus/Node.h"

// Replication: append requests and replies, commit index, check-quorum.

namespace acaciafork::consensus {

namespace {

/// True when the terms of the entries never decrease and never exceed the leader's term.
bool termsInOrder(const AppendRequest &request, Term leaderTerm)
{
    Term last = request.prevTerm;
    for (const Entry &it : request.entries) {
        if (it.term < last || it.term > leaderTerm)
            return false;
        last = it.term;
    }
    return true;
}

} // namespace

void Node::followLeader(Timestamp now, const Message &message)
{
    if (m_role != Role::Follower || m_leader != message.from)
        becomeFollower(now, message.term, message.from);
    m_heardLeaderAt = now;
    resetElectionDeadline(now);
}

void Node::onAppendRequest(Timestamp now, const Message &message, AppendRequest &request)
{
    if (m_role == Role::Leader || !termsInOrder(request, message.term))
        return;
    followLeader(now, message);
    m_leaderSentAt = std::max(m_leaderSentAt, request.sentAt);

    // Committed entries are the same on every member; for later entries the terms must match.
    const bool logsMatch =
            request.prevIndex <= m_commit || m_log.termAt(request.prevIndex) == request.prevTerm;
    if (!logsMatch) {
        refuseAppend(request.sentAt, message.from, request.prevIndex);
        return;
    }
    m_matched = std::max(m_matched, storeEntries(request.prevIndex, request.entries));
    commitTo(std::min(request.commit, m_matched));
    if (!m_replyPending)
        m_replyBy = now + m_settings.heartbeatInterval;
    m_replyPending = true;
}

LogIndex Node::storeEntries(LogIndex prevIndex, std::vector<Entry> &entries)
{
    LogIndex verified = std::min(prevIndex, m_log.lastIndex());
    for (Entry &it : entries) {
        const LogIndex index = it.index;
        const bool known = index <= m_commit || m_log.termAt(index) == it.term;
        if (!known) {
            if (m_diskFull || it.term < m_log.termAt(index - 1).value_or(0))
                break;
            if (index <= m_log.lastIndex())
                truncateFrom(index);
            m_log.append(std::move(it));
            pushMembership(m_log.at(index));
        }
        verified = index;
    }
    return verified;
}

void Node::truncateFrom(LogIndex index)
{
    ACACIAFORK_ASSERT(index > m_commit);
    m_log.truncateFrom(index);
    m_lastSubmitted = std::min(m_lastSubmitted, index - 1);
    m_durable = std::min(m_durable, index - 1);
    m_matched = std::min(m_matched, index - 1);
    while (m_memberships.size() > 1 && m_memberships.back().index >= index)
        m_memberships.pop_back();
}

LogIndex Node::matchHint(LogIndex prevIndex) const
{
    if (prevIndex > m_log.lastIndex())
        return m_log.lastIndex();
    // Skips all entries of the conflicting term at once.
    const auto term = m_log.termAt(prevIndex);
    LogIndex hint = prevIndex;
    while (hint > m_commit && m_log.termAt(hint) == term)
        --hint;
    return hint;
}

void Node::refuseAppend(Timestamp sentAt, ProcessId to, LogIndex prevIndex)
{
    send(to, m_hardState.term,
         AppendReply { .accepted = false,
                       .match = matchHint(prevIndex),
                       .rejectedPrev = prevIndex,
                       .sentAt = sentAt,
                       .full = m_diskFull });
}

void Node::sendAcknowledgement()
{
    m_replyPending = false;
    if (!m_leader || m_leader == m_identity.self)
        return;
    send(m_leader, m_hardState.term,
         AppendReply { .accepted = true,
                       .match = std::min(m_matched, m_durable),
                       .rejectedPrev = 0,
                       .sentAt = m_leaderSentAt,
                       .full = m_diskFull });
}

void Node::onAppendReply(Timestamp now, const Message &message, const AppendReply &reply)
{
    const auto found = m_progress.find(message.from);
    if (m_role != Role::Leader || found == m_progress.end())
        return;
    Progress &progress = found->second;
    progress.lastHeardAt = now;
    progress.ackedSentAt = std::max(progress.ackedSentAt, reply.sentAt);
    progress.full = reply.full;

    if (progress.state == ProgressState::Snapshot) {
        if (reply.match >= m_log.baseIndex())
            progress.probeFrom(std::min(reply.match, m_log.lastIndex()) + 1);
        return;
    }
    if (reply.accepted) {
        progress.acknowledged(std::min(reply.match, m_log.lastIndex()));
        progress.state = ProgressState::Replicate;
        advanceCommit(now);
        return;
    }

    // Ignores a reply to a request that was sent before `next` last changed.
    const bool stale = progress.state == ProgressState::Replicate
            ? reply.rejectedPrev <= progress.match
            : reply.rejectedPrev != progress.next - 1;
    if (!stale)
        progress.probeFrom(
                std::min({ reply.rejectedPrev, reply.match + 1, m_log.lastIndex() + 1 }));
}

LogPosition Node::appendAsLeader(EntryKind kind, std::string payload)
{
    const LogIndex index = m_log.lastIndex() + 1;
    m_log.append({ .index = index,
                   .term = m_hardState.term,
                   .kind = kind,
                   .payload = std::make_shared<const std::string>(std::move(payload)) });
    m_uncommittedBytes += m_log.at(index).size();
    pushMembership(m_log.at(index));
    return { .index = index, .term = m_hardState.term };
}

Result<LogPosition> Node::propose(Timestamp /*now*/, std::string command)
{
    if (m_role != Role::Leader || m_transfer)
        return fail(FailureKind::NotReady,
                    "this member is not the leader or is transferring the leadership");
    if (m_diskFull)
        return fail(FailureKind::Full, "the leader's disk is full");
    if (m_uncommittedBytes + command.size() > static_cast<std::size_t>(m_settings.uncommittedBytes))
        return fail(FailureKind::Overloaded, "too many bytes of proposals are uncommitted");
    return appendAsLeader(EntryKind::Command, std::move(command));
}

void Node::replicate(Timestamp now)
{
    const bool heartbeat = now >= m_nextHeartbeat;
    if (heartbeat)
        m_nextHeartbeat = now + m_settings.heartbeatInterval;
    for (auto &[id, progress] : m_progress)
        replicateTo(now, id, progress, heartbeat);
}

void Node::replicateTo(Timestamp now, ProcessId id, Progress &progress, bool heartbeat)
{
    if (progress.state == ProgressState::Snapshot || progress.next <= m_log.baseIndex()) {
        offerSnapshot(now, id, progress);
        return;
    }

    bool sent = false;
    const auto maxBytes = static_cast<std::size_t>(m_settings.appendBytes);
    const auto hasMore = [&] { return !progress.full && progress.next <= m_log.lastIndex(); };
    if (progress.state == ProgressState::Probe && hasMore()
        && now - progress.sentAt >= m_settings.heartbeatInterval) {
        sendAppend(now, id, progress, m_log.slice(progress.next, m_log.lastIndex(), maxBytes));
        sent = true;
    }
    while (progress.state == ProgressState::Replicate && hasMore()
           && progress.inflight.size() < static_cast<std::size_t>(m_settings.inflightMessages)
           && progress.inflightBytes < static_cast<std::size_t>(m_settings.inflightBytes)) {
        auto entries = m_log.slice(progress.next, m_log.lastIndex(), maxBytes);
        std::size_t bytes = 0;
        for (const Entry &it : entries)
            bytes += it.size();
        const LogIndex last = entries.back().index;
        sendAppend(now, id, progress, std::move(entries));
        progress.sent(last, bytes);
        sent = true;
    }
    if (heartbeat && !sent)
        sendAppend(now, id, progress, {});
}

void Node::sendAppend(Timestamp now, ProcessId id, Progress &progress, std::vector<Entry> entries)
{
    const LogIndex prev = progress.next - 1;
    progress.sentAt = now;
    send(id, m_hardState.term,
         AppendRequest { .prevIndex = prev,
                         .prevTerm = m_log.termAt(prev).value_or(0),
                         .commit = m_commit,
                         .sentAt = now,
                         .entries = std::move(entries) });
}

void Node::advanceCommit(Timestamp now)
{
    std::vector<LogIndex> matches;
    for (const Member &it : membership().members) {
        if (!it.voter)
            continue;
        const auto found = m_progress.find(it.id);
        matches.push_back(found == m_progress.end() ? m_durable : found->second.match);
    }
    if (matches.empty())
        return;
    const std::size_t quorum = membership().quorum();
    std::ranges::nth_element(matches, matches.begin() + static_cast<std::ptrdiff_t>(quorum) - 1,
                             std::greater<>());
    const LogIndex agreed = matches[quorum - 1];
    // Only an entry of the current term is committed by counting copies; it commits all earlier
    // ones.
    if (agreed > m_commit && m_log.termAt(agreed) == m_hardState.term) {
        commitTo(agreed);
        stepDownIfRemoved(now);
    }
}

void Node::commitTo(LogIndex index)
{
    index = std::min(index, m_log.lastIndex());
    const LogIndex before = m_commit;
    while (m_role == Role::Leader && m_commit < index) {
        ++m_commit;
        if (m_commit >= m_termStart)
            m_uncommittedBytes -= m_log.at(m_commit).size();
    }
    m_commit = std::max(m_commit, index);
    for (const MembershipAt &it : m_memberships) {
        if (it.index > before && it.index <= m_commit)
            noteCommitted(it.membership);
    }
}

bool Node::committedInTerm() const
{
    return m_role == Role::Leader && m_commit >= m_termStart;
}

void Node::tickLeader(Timestamp now)
{
    // A leader that gets no replies from a quorum steps down, so that its callers do not wait for
    // it.
    const Timestamp contact = std::max(quorumAckedAt(now), m_leaderSince);
    if (now - contact > m_settings.maxElectionTimeout) {
        becomeFollower(now, m_hardState.term, {});
        return;
    }
    if (m_transfer) {
        const auto target = m_progress.find(m_transfer->to);
        if (now >= m_transfer->deadline || target == m_progress.end()) {
            m_transfer.reset();
            // The target may still start its election, so only a new term brings a lease again.
            if (m_leaseRevoked) {
                becomeFollower(now, m_hardState.term, {});
                return;
            }
        } else if (target->second.match == m_log.lastIndex() && now >= m_transfer->retryAt) {
            m_transfer->retryAt = now + m_settings.heartbeatInterval;
            m_leaseRevoked = true;
            send(m_transfer->to, m_hardState.term, TimeoutNow {});
        }
    }
    transferIfDiskFull(now);
    advanceMembership(now);
}

} // namespace acaciafork::consensus
