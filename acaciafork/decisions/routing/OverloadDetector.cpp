#include "acaciafork/decisions/routing/OverloadDetector.h"

namespace acaciafork::routing {

void OverloadDetector::queueChanged(Timestamp now, bool empty)
{
    if (m_nonEmpty != empty)
        return;
    m_nonEmpty = !empty;
    m_nonEmptySince = now;
}

void OverloadDetector::recordRefusal(Timestamp now, Duration overloadDetectionTime)
{
    if (overloaded(now, overloadDetectionTime))
        m_overloadedUntil = now + overloadDetectionTime;
}

bool OverloadDetector::overloaded(Timestamp now, Duration overloadDetectionTime) const
{
    return now < m_overloadedUntil
            || (m_nonEmpty && now - m_nonEmptySince >= overloadDetectionTime);
}

} // namespace acaciafork::routing
