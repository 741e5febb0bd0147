#include <algorithm>

#include "acaciafork/consensus/Node.h"

// Elections: pre-vote, votes, terms.

namespace acaciafork::consensus {

void Node::resetElectionDeadline(Timestamp now)
{
    std::uniform_int_distribution<std::int64_t> distribution(m_settings.minElectionTimeout.count(),
                                                             m_settings.maxElectionTimeout.count());
    m_electionDeadline = now + Duration(distribution(m_random));
}

void Node::adoptTerm(Term term)
{
    ACACIAFORK_ASSERT(term > m_hardState.term);
    m_hardState = { .term = term, .vote = {} };
    m_hardStateDirty = true;
    m_matched = 0;
    // Clocks of different leaders can't be compared: an echo of another one's time would lengthen
    // the new one's lease.
    m_leaderSentAt = distantPast;
    m_replyPending = false;
}

void Node::becomeFollower(Timestamp now, Term term, ProcessId leader)
{
    if (term > m_hardState.term)
        adoptTerm(term);
    if (m_role == Role::Leader) {
        failReads();
        m_progress.clear();
        m_transfer.reset();
        resetElectionDeadline(now);
    }
    m_role = Role::Follower;
    m_leader = leader;
    m_votes.clear();
}

void Node::becomePreCandidate(Timestamp now)
{
    m_role = Role::PreCandidate;
    m_leader = {};
    m_votes = { m_identity.self };
    for (const Member &it : membership().members) {
        if (it.voter && it.id != m_identity.self)
            send(it.id, m_hardState.term + 1,
                 VoteRequest { .preVote = true,
                               .force = false,
                               .lastIndex = m_log.lastIndex(),
                               .lastTerm = m_log.lastTerm() });
    }
    countVotes(now);
}

void Node::becomeCandidate(Timestamp now, bool force)
{
    adoptTerm(m_hardState.term + 1);
    m_hardState.vote = m_identity.self;
    m_role = Role::Candidate;
    m_leader = {};
    // The own vote is counted once it is synced.
    m_votes.clear();
    resetElectionDeadline(now);
    for (const Member &it : membership().members) {
        if (it.voter && it.id != m_identity.self)
            send(it.id, m_hardState.term,
                 VoteRequest { .preVote = false,
                               .force = force,
                               .lastIndex = m_log.lastIndex(),
                               .lastTerm = m_log.lastTerm() });
    }
}

void Node::becomeLeader(Timestamp now)
{
    m_role = Role::Leader;
    m_leader = m_identity.self;
    m_leaderSince = now;
    m_nextHeartbeat = now;
    m_uncommittedBytes = 0;
    m_leaseRevoked = false;
    m_transfer.reset();
    m_fetch.reset();
    m_replyPending = false;
    m_progress.clear();
    updateTrackedMembers(now);
    // Entries of earlier terms are committed through one of the own term.
    m_termStart = appendAsLeader(EntryKind::NoOperation, {}).index;
}

void Node::countVotes(Timestamp now)
{
    const auto votes = std::ranges::count_if(
            m_votes, [this](ProcessId it) { return membership().isVoter(it); });
    if (static_cast<std::size_t>(votes) < membership().quorum())
        return;
    if (m_role == Role::PreCandidate)
        becomeCandidate(now, false);
    else if (m_role == Role::Candidate)
        becomeLeader(now);
}

bool Node::hasActiveLeader(Timestamp now) const
{
    if (m_role == Role::Leader)
        return now - std::max(quorumAckedAt(now), m_leaderSince) < m_settings.minElectionTimeout;
    return now - m_heardLeaderAt < m_settings.minElectionTimeout;
}

bool Node::isUpToDate(const VoteRequest &request) const
{
    if (request.lastTerm != m_log.lastTerm())
        return request.lastTerm > m_log.lastTerm();
    return request.lastIndex >= m_log.lastIndex();
}

bool Node::acceptTerm(Timestamp now, const Message &message)
{
    const auto *request = std::get_if<VoteRequest>(&message.body);
    const auto *reply = std::get_if<VoteReply>(&message.body);
    const bool fromLeader = std::holds_alternative<AppendRequest>(message.body)
            || std::holds_alternative<SnapshotOffer>(message.body);

    if (message.term > m_hardState.term) {
        // A member that still hears a leader keeps out of elections: this protects the leader's
        // lease and keeps a returning member from disrupting the group.
        if (request != nullptr && !request->force && hasActiveLeader(now))
            return false;
        const bool preVote = (request != nullptr && request->preVote)
                || (reply != nullptr && reply->preVote && reply->granted);
        if (!preVote)
            becomeFollower(now, message.term, fromLeader ? message.from : ProcessId {});
        return true;
    }
    if (message.term == m_hardState.term)
        return true;

    // A leader or candidate of the past learns the term, else it would never catch up.
    if (fromLeader)
        send(message.from, m_hardState.term, AppendReply {});
    else if (request != nullptr)
        send(message.from, m_hardState.term, VoteReply { request->preVote, false });
    return false;
}

void Node::onVoteRequest(Timestamp now, const Message &message, const VoteRequest &request)
{
    if (request.preVote) {
        // A granted answer carries the term asked for, a refusal the own.
        const bool granted = message.term > m_hardState.term && isUpToDate(request);
        send(message.from, granted ? message.term : m_hardState.term, VoteReply { true, granted });
        return;
    }

    const bool canVote = m_hardState.vote ? m_hardState.vote == message.from : !m_leader;
    const bool granted = canVote && isUpToDate(request);
    if (granted) {
        if (m_hardState.vote != message.from) {
            m_hardState.vote = message.from;
            m_hardStateDirty = true;
        }
        resetElectionDeadline(now);
    }
    send(message.from, m_hardState.term, VoteReply { false, granted });
}

void Node::onVoteReply(Timestamp now, const Message &message, const VoteReply &reply)
{
    if (!reply.granted)
        return;
    const bool isExpected = reply.preVote
            ? m_role == Role::PreCandidate && message.term == m_hardState.term + 1
            : m_role == Role::Candidate && message.term == m_hardState.term;
    if (!isExpected)
        return;
    m_votes.insert(message.from);
    countVotes(now);
}

} // namespace acaciafork::consensus
