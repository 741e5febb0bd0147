#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Tracks the lease of one worker on the worker's own clock, as observed in its answers. That clock
/// may run slower than this process's by a bounded rate, and has moved past the reported time when
/// an answer arrives.
class LeaseClock
{
public:
    /// Maximum percentage by which a worker's clock runs slower than ours; a bound given by the
    /// worker interface.
    static constexpr std::int64_t maxClockLagPercent = 2;
    /// Safety margin between the computed end of a lease and the time at which it counts as
    /// expired.
    static constexpr Duration expiryMargin = std::chrono::milliseconds(100);

    /// Records a reading of the worker's clock from an answer that arrived now.
    void observe(Timestamp now, std::int64_t clockMs);
    /// Returns the end, on the worker's clock, of a lease of `length` from now, and remembers it as
    /// granted.
    std::int64_t grant(Timestamp now, Duration length);
    /// Assumes that an earlier leader granted a lease of `length` from now.
    void assumeGranted(Timestamp now, Duration length);

    /// True once the worker's clock has been observed.
    [[nodiscard]] bool isKnown() const { return m_isKnown; }
    /// Time by which every granted lease has certainly expired.
    [[nodiscard]] Timestamp expiresAt() const;

private:
    [[nodiscard]] std::int64_t estimate(Timestamp now) const;

    bool m_isKnown = false;
    std::int64_t m_clockMs = 0;
    Timestamp m_readAt;
    std::int64_t m_lastGrantedEndMs = 0;
    /// Expiry of leases that were granted before the worker's clock was observed.
    Timestamp m_assumedExpiry;
};

} // namespace acaciafork::jobs
