#pragma once

#include "acaciafork/core/Core.h"

namespace acaciafork::jobs {

/// Readings of the tail latency of one serving run, as shares of its target.
///
/// Answers the load of readings that are listed again and again, and that decay for seconds after
/// interference has ended: each reading counts once, and a decay speaks against no task that
/// remains.
class TailTracker
{
public:
    /// Time that a reading covers.
    static constexpr Duration readingSpan = std::chrono::milliseconds(500);
    /// A reading tells of a change of the neighbours after this time: its span and the way of the
    /// order.
    static constexpr Duration settleTime = std::chrono::milliseconds(700);
    /// Longest decay after interference.
    static constexpr Duration maxDecay = std::chrono::milliseconds(3500);

    /// Takes in a listed reading.
    /// @return true when it is a new one
    bool observe(Timestamp now, double ratio);
    /// A neighbour that may have interfered has ended or was stopped.
    void neighbourGone(Timestamp now);
    /// The latest reading shows the run without unexplained interference.
    void rebase(Timestamp now);

    [[nodiscard]] double ratio() const { return m_ratio; }
    /// Ratio without unexplained interference, and its age; the middle of the usual range while
    /// none is known or the last one is old.
    [[nodiscard]] double base(Timestamp now) const;
    [[nodiscard]] bool hasBase(Timestamp now) const;
    [[nodiscard]] Duration baseAge(Timestamp now) const { return now - m_baseAt; }
    /// Increase of the latest reading above the base.
    [[nodiscard]] double growth(Timestamp now) const { return m_ratio - base(now); }
    /// True while the latest reading may show interference that has ended: nothing is learned.
    [[nodiscard]] bool isSettling(Timestamp now) const;
    /// True while the latest reading is no higher than the decay of interference that has ended
    /// explains: no neighbour is blamed.
    [[nodiscard]] bool decaysAsExpected(Timestamp now) const;

private:
    static constexpr Timestamp never = timestampFromMicroseconds(INT64_MIN / 4);

    double m_ratio = -1;
    double m_base = -1;
    /// Highest increase since the neighbour has gone.
    double m_peak = 0;
    Timestamp m_readAt = never;
    Timestamp m_baseAt = never;
    Timestamp m_goneAt = never;
};

} // namespace acaciafork::jobs
