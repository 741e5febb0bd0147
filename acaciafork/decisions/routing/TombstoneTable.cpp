#include "acaciafork/decisions/routing/TombstoneTable.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Most tombstones named in one message.
constexpr std::size_t maxInMessage = 256;

} // namespace

TombstoneTable::TombstoneTable(Duration retention)
    : m_retention(retention)
{ }

bool TombstoneTable::add(Timestamp now, const LeavingNotice &notice)
{
    if (covers(notice.endpoint, notice.incarnation))
        return false;
    m_incarnations[notice.endpoint] = notice.incarnation;
    m_expiries.push_back(Expiry { .at = now + m_retention,
                                  .endpoint = notice.endpoint,
                                  .incarnation = notice.incarnation });
    return true;
}

bool TombstoneTable::covers(const EndpointName &endpoint, Incarnation incarnation) const
{
    const auto it = m_incarnations.find(endpoint);
    return it != m_incarnations.end() && incarnation <= it->second;
}

std::vector<LeavingNotice> TombstoneTable::latest() const
{
    const std::size_t count = std::min(m_expiries.size(), maxInMessage);
    std::vector<LeavingNotice> notices;
    notices.reserve(count);
    for (std::size_t it = m_expiries.size() - count; it < m_expiries.size(); ++it) {
        notices.push_back(LeavingNotice { .endpoint = m_expiries[it].endpoint,
                                          .incarnation = m_expiries[it].incarnation });
    }
    return notices;
}

void TombstoneTable::expire(Timestamp now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        const Expiry &expiry = m_expiries.front();
        const auto it = m_incarnations.find(expiry.endpoint);
        if (it != m_incarnations.end() && it->second == expiry.incarnation)
            m_incarnations.erase(it);
        m_expiries.pop_front();
    }
}

} // namespace acaciafork::routing
