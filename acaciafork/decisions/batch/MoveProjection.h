#pragma once

#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// Projected end of a move, with its uncertainty.
struct ProjectedFinish
{
    Timestamp expected {};
    /// Nine in ten times the move ends between these.
    Timestamp early {};
    Timestamp late {};
};

/// Foretells the end of a move from how long its racks took to empty so far.
class MoveProjection
{
public:
    /// A rack took this long from the start of its drain until it was empty.
    void addRack(Duration drain);

    /// End of a move of which `racksLeft` racks are not empty, `concurrentRacks` of them emptied
    /// together, the oldest of those for `elapsed`.
    [[nodiscard]] ProjectedFinish project(Timestamp now, std::size_t racksLeft,
                                          std::size_t concurrentRacks, Duration elapsed) const;
    /// Mean time that a rack takes.
    [[nodiscard]] Duration meanDrainTime() const;

private:
    /// What is assumed before the first rack was emptied, as if it had been seen once.
    static constexpr double priorSeconds = 600;
    static constexpr double priorDeviation = 400;

    double m_count = 1;
    double m_sum = priorSeconds;
    double m_sumOfSquares = priorSeconds * priorSeconds + priorDeviation * priorDeviation;
};

} // namespace acaciafork::batch
