#pragma once

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Tells lasting overload from a short crest, for one queue: overload is a queue that has not been
/// empty for long, and it lasts until nothing has been refused for as long.
class OverloadDetector
{
public:
    /// The queue has become empty or has ceased to be.
    void queueChanged(Timestamp now, bool empty);

    /// A request was refused because the wait was too long.
    void recordRefusal(Timestamp now, Duration overloadDetectionTime);

    /// True while the overload lasts.
    /// @param[in] overloadDetectionTime time without an empty queue that makes an overload
    [[nodiscard]] bool overloaded(Timestamp now, Duration overloadDetectionTime) const;

private:
    bool m_nonEmpty = false;
    Timestamp m_nonEmptySince;
    Timestamp m_overloadedUntil;
};

} // namespace acaciafork::routing
