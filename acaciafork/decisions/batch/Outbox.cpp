#include "acaciafork/decisions/batch/Outbox.h"

namespace acaciafork::batch {

void Outbox::propose(Index subject, DurableChange change)
{
    const ProposalId proposal { ++m_lastProposal };
    m_pending.emplace(proposal, PendingChange { .subject = subject, .change = change });
    m_commands->emplace_back(Propose { .proposal = proposal, .change = std::move(change) });
}

bool Outbox::take(ProposalId proposal, PendingChange *pending)
{
    const auto it = m_pending.find(proposal);
    if (it == m_pending.end())
        return false;
    *pending = std::move(it->second);
    m_pending.erase(it);
    return true;
}

} // namespace acaciafork::batch
