#include "acaciafork/decisions/routing/AdaptiveLimit.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Least time between two falls, so that one burst of refusals counts once.
constexpr Duration decreaseInterval = std::chrono::milliseconds(500);
/// Time without a refusal after which one more slot is tried.
constexpr Duration increaseInterval = std::chrono::seconds(2);

} // namespace

void AdaptiveLimit::recordRefusal(Timestamp now, std::uint32_t running)
{
    if (limited() && now - m_changedAt < decreaseInterval)
        return;
    const std::uint32_t from = std::min(m_limit, running);
    m_limit = std::max(from - from / 4, 1U);
    if (m_limit == from && from > 1)
        --m_limit;
    m_changedAt = now;
}

bool AdaptiveLimit::recover(Timestamp now, std::uint32_t slots)
{
    if (!limited() || now - m_changedAt < increaseInterval)
        return false;
    m_changedAt = now;
    ++m_limit;
    if (m_limit >= slots)
        m_limit = unlimited;
    return true;
}

std::uint32_t AdaptiveLimit::apply(std::uint32_t slots) const
{
    return std::min(slots, m_limit);
}

} // namespace acaciafork::routing
