#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

/// Lease of one worker, on the worker's own clock as it shows in answers. The clock may run slower
/// than this process's by up to a bound; an answer shows a time that has passed by its arrival.
class LeaseClock
{
public:
    /// A worker's clock is at most this many percent slower than ours; a bound of the interface.
    static constexpr std::int64_t maxClockLagPercent = 2;
    /// Kept between the end of a lease by reckoning and the moment when it counts as over.
    static constexpr Duration expiryMargin = std::chrono::milliseconds(100);

    /// The worker's clock showed `clockMs` in an answer that arrived now.
    void observe(Timestamp now, std::int64_t clockMs);
    /// End of a lease of `length` from now on, on the worker's clock. Remembered as given.
    std::int64_t grant(Timestamp now, Duration length);
    /// Takes into account what an earlier leader may have given: `length` from now on.
    void assumeGranted(Timestamp now, Duration length);

    /// True once the clock of the worker has been seen.
    [[nodiscard]] bool isKnown() const { return m_isKnown; }
    /// Moment by which every lease given has surely run out.
    [[nodiscard]] Timestamp expiresAt() const;

private:
    [[nodiscard]] std::int64_t estimate(Timestamp now) const;

    bool m_isKnown = false;
    std::int64_t m_clockMs = 0;
    Timestamp m_readAt;
    std::int64_t m_lastGrantedEndMs = 0;
    /// Lapse of leases that were given before the clock was seen.
    Timestamp m_assumedExpiry;
};

} // namespace acaciafork::jobs
