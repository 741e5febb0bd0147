#pragma once

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Distinguishes sustained overload of one queue from a short burst. Overload begins when the queue
/// has not been empty for `overloadDetectionTime` (a standing queue), and ends once the queue has
/// been emptied and the last refusal is `overloadDetectionTime` ago.
class OverloadDetector
{
public:
    /// The queue has become empty or non-empty.
    void queueChanged(Timestamp now, bool empty);

    /// A request was refused because its wait was too long; prolongs an overload.
    void recordRefusal(Timestamp now, Duration overloadDetectionTime);

    /// True during overload.
    /// @param[in] overloadDetectionTime time without an empty queue that counts as overload
    [[nodiscard]] bool overloaded(Timestamp now, Duration overloadDetectionTime) const;

private:
    bool m_nonEmpty = false;
    Timestamp m_nonEmptySince;
    Timestamp m_overloadedUntil;
};

} // namespace acaciafork::routing
