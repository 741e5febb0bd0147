#pragma once

#include <cstddef>

#include "acaciafork/core/Time.h"

namespace acaciafork::jobs {

/// Rate at which workers crash for reasons other than a task on trial, over the last minute or so.
class CrashRate
{
public:
    /// Begins anew, with a rate that is assumed until crashes are seen.
    void reset(Timestamp now);
    /// Lets time pass for a number of workers.
    void advance(Timestamp now, std::size_t workers);
    /// Adds crashes that were seen.
    void add(double crashes) { m_crashes += crashes; }

    /// Probability that a given worker crashes within a length of time.
    [[nodiscard]] double probability(Duration length) const;

private:
    Timestamp m_advancedAt;
    double m_crashes = 0;
    double m_workerSeconds = 0;
};

} // namespace acaciafork::jobs
