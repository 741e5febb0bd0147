#include <algorithm>

#include "acaciafork/consensus/Node.h"

// Reads: served under the leader's lease, or after a heartbeat round when the lease is not valid.

namespace acaciafork::consensus {

Timestamp Node::quorumAckedAt(Timestamp now) const
{
    std::vector<Timestamp> acked;
    for (const Member &it : membership().members) {
        if (!it.voter)
            continue;
        const auto found = m_progress.find(it.id);
        acked.push_back(found == m_progress.end() ? now : found->second.ackedSentAt);
    }
    if (acked.empty())
        return distantPast;
    const std::size_t quorum = membership().quorum();
    std::ranges::nth_element(acked, acked.begin() + static_cast<std::ptrdiff_t>(quorum) - 1,
                             std::greater<>());
    return acked[quorum - 1];
}

bool Node::leaseValid(Timestamp now) const
{
    // Once a member has been told to start an election immediately, voters may grant it their votes
    // before the lease ends.
    return !m_leaseRevoked && now < quorumAckedAt(now) + m_settings.leaseLength();
}

bool Node::canReadNow(Timestamp now) const
{
    // Entries of this term that are committed and not applied yet have been acknowledged to nobody:
    // their proposer hears of them when they are applied here.
    return committedInTerm() && m_applied >= m_termStart && leaseValid(now);
}

Result<ReadTicket> Node::readBarrier(Timestamp now)
{
    if (!committedInTerm())
        return fail(FailureKind::NotReady,
                    "this member is not the leader or has not committed an entry in its term");
    const ReadTicket ticket { ++m_lastTicket };
    m_reads.push_back({ .ticket = ticket, .requestedAt = now });
    // Without a lease the read waits until a quorum has answered a heartbeat sent from now on.
    if (!leaseValid(now))
        m_nextHeartbeat = std::min(m_nextHeartbeat, now);
    return ticket;
}

void Node::resolveReads(Timestamp now)
{
    if (m_reads.empty())
        return;
    const bool lease = leaseValid(now);
    const Timestamp acked = quorumAckedAt(now);
    std::erase_if(m_reads, [&](const PendingRead &it) {
        const bool ready = lease || it.requestedAt <= acked;
        if (ready)
            m_output.reads.push_back({ .ticket = it.ticket, .ready = true });
        return ready;
    });
}

void Node::failReads()
{
    for (const PendingRead &it : m_reads)
        m_output.reads.push_back({ .ticket = it.ticket, .ready = false });
    m_reads.clear();
}

} // namespace acaciafork::consensus
