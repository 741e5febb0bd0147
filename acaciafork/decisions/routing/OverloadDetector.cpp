#include "acaciafork/decisions/routing/OverloadDetector.h"

namespace acaciafork::routing {

void OverloadDetector::queueChanged(Timestamp now, bool empty)
{
    if (m_waiting != empty)
        return;
    m_waiting = !empty;
    m_waitingSince = now;
}

void OverloadDetector::noteRefusal(Timestamp now, Duration overloadDetectionTime)
{
    if (overloaded(now, overloadDetectionTime))
        m_overloadedUntil = now + overloadDetectionTime;
}

bool OverloadDetector::overloaded(Timestamp now, Duration overloadDetectionTime) const
{
    return now < m_overloadedUntil || (m_waiting && now - m_waitingSince >= overloadDetectionTime);
}

} // namespace acaciafork::routing
