#include "acaciafork/decisions/routing/OverloadDetector.h"

namespace acaciafork::routing {

void OverloadDetector::queueChanged(Timestamp now, bool empty)
{
    if (m_nonEmpty != empty)
        return;
    m_nonEmpty = !empty;
    m_nonEmptySince = now;
}

void OverloadDetector::recordRefusal(Timestamp now, Duration standingTime)
{
    if (overloaded(now, standingTime))
        m_overloadedUntil = now + standingTime;
}

bool OverloadDetector::overloaded(Timestamp now, Duration standingTime) const
{
    return now < m_overloadedUntil || (m_nonEmpty && now - m_nonEmptySince >= standingTime);
}

} // namespace acaciafork::routing
