#include "acaciafork/decisions/routing/OverloadDetector.h"

namespace acaciafork::routing {

void OverloadDetector::queueChanged(Timestamp now, bool empty)
{
    if (m_waiting != empty)
        return;
    m_waiting = !empty;
    m_waitingSince = now;
}

void OverloadDetector::noteRefusal(Timestamp now, Duration standingTime)
{
    if (overloaded(now, standingTime))
        m_overloadedUntil = now + standingTime;
}

bool OverloadDetector::overloaded(Timestamp now, Duration standingTime) const
{
    return now < m_overloadedUntil || (m_waiting && now - m_waitingSince >= standingTime);
}

} // namespace acaciafork::routing
