#include "acaciafork/control/ProposalTable.h"

namespace acaciafork::control {

void ProposalTable::add(const consensus::LogPosition &position, Handler handler)
{
    m_pending[position.index] = { .term = position.term, .handler = std::move(handler) };
}

void ProposalTable::applied(Moment at, const consensus::LogPosition &position,
                            const state::ApplyResult &result)
{
    // Entries are applied in order: whatever waits before this index was overwritten.
    while (!m_pending.empty() && m_pending.begin()->first <= position.index) {
        const auto node = m_pending.extract(m_pending.begin());
        const bool isOurs = node.key() == position.index && node.mapped().term == position.term;
        node.mapped().handler(at, isOurs ? &result : nullptr);
    }
}

void ProposalTable::abandon(Moment at)
{
    const auto pending = std::exchange(m_pending, {});
    for (const auto &[index, it] : pending)
        it.handler(at, nullptr);
}

} // namespace acaciafork::control
