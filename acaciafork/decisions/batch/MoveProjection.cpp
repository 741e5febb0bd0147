#include "acaciafork/decisions/batch/MoveProjection.h"

#include <cmath>

namespace acaciafork::batch {

namespace {

/// Standard deviations to either side that hold nine in ten of a normal distribution.
constexpr double ninetyPercentDeviations = 1.645;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void MoveProjection::addRack(Duration drain)
{
    const double seconds = std::chrono::duration<double>(drain).count();
    m_count += 1;
    m_sum += seconds;
    m_sumOfSquares += seconds * seconds;
}

Duration MoveProjection::meanDrainTime() const
{
    return fromSeconds(m_sum / m_count);
}

ProjectedFinish MoveProjection::project(Timestamp now, std::size_t racksLeft,
                                        std::size_t concurrentRacks, Duration elapsed) const
{
    if (racksLeft == 0)
        return { .expected = now, .early = now, .late = now };
    const double mean = m_sum / m_count;
    const double variance = std::max(m_sumOfSquares / m_count - mean * mean, 0.0);
    const auto parallelRacks =
            static_cast<double>(std::max<std::size_t>(std::min(racksLeft, concurrentRacks), 1));
    const auto remainingRacks = static_cast<double>(racksLeft);

    // Of the racks in progress, what is left of the mean; one that is overdue is taken to need some
    // more of what it took.
    constexpr double overdueFraction = 0.3;
    const double elapsedSeconds = std::chrono::duration<double>(elapsed).count();
    const double currentSeconds = std::max(mean - elapsedSeconds, overdueFraction * elapsedSeconds);
    const double seconds =
            currentSeconds + std::max(remainingRacks - parallelRacks, 0.0) / parallelRacks * mean;

    // Racks vary from each other, and the mean itself is only known from so many.
    const double drainRounds = remainingRacks / parallelRacks;
    const double deviation =
            std::sqrt(variance * drainRounds + variance / m_count * drainRounds * drainRounds);
    const double spread = ninetyPercentDeviations * deviation;
    return { .expected = now + fromSeconds(seconds),
             .early = now + fromSeconds(std::max(seconds - spread, 0.0)),
             .late = now + fromSeconds(seconds + spread) };
}

} // namespace acaciafork::batch
