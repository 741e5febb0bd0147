#include "acaciafork/decisions/routing/EndpointHealth.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Maximum number of times that the ejection time is doubled.
constexpr std::uint32_t maxDoublings = 4;

} // namespace

void EndpointHealth::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_ejections = 0;
}

bool EndpointHealth::recordFailure(const ServiceSettings &settings, std::uint32_t weight)
{
    m_consecutiveFailures += weight;
    return m_state == State::Serving && m_consecutiveFailures >= settings.ejectionFailures;
}

void EndpointHealth::eject(Timestamp now, const ServiceSettings &settings)
{
    const std::uint32_t doublings = std::min(m_ejections, maxDoublings);
    m_state = State::Ejected;
    m_ejectedUntil = now + settings.ejectionTime * (1U << doublings);
    ++m_ejections;
}

bool EndpointHealth::probeDue(Timestamp now) const
{
    return m_state == State::Ejected && now >= m_ejectedUntil;
}

void EndpointHealth::probeEnded(Timestamp now, bool reached, const ServiceSettings &settings)
{
    // A probe sent before the ejection may end after it; only its success says something new.
    if (m_state == State::Serving || (m_state == State::Ejected && !reached))
        return;
    if (!reached) {
        eject(now, settings);
        return;
    }
    // A successful connect alone does not show that the endpoint works, so a single further failure
    // ejects it again.
    m_state = State::Serving;
    m_consecutiveFailures = settings.ejectionFailures - 1;
}

} // namespace acaciafork::routing
