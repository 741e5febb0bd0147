#pragma once

#include "acaciafork/decisions/batch/Types.h"

namespace acaciafork::batch {

/// Projected end of a move, with its uncertainty.
struct ProjectedFinish
{
    Timestamp expected {};
    /// The move ends between these two times with a probability of nine in ten.
    Timestamp early {};
    Timestamp late {};
};

/// Predicts the end of a move from how long its racks took to drain so far.
class MoveProjection
{
public:
    /// Records the time from the start of the drain of a rack until it was empty.
    void addRack(Duration drain);

    /// Projects the end of a move in which `racksLeft` racks are not empty yet. `concurrentRacks`
    /// of them are drained at the same time; the oldest of these drains has been running for
    /// `elapsed`.
    [[nodiscard]] ProjectedFinish project(Timestamp now, std::size_t racksLeft,
                                          std::size_t concurrentRacks, Duration elapsed) const;
    /// Mean time to drain a rack.
    [[nodiscard]] Duration meanDrainTime() const;

private:
    /// Assumed drain time before the first rack is empty. It has the weight of one observation.
    static constexpr double priorSeconds = 600;
    static constexpr double priorDeviation = 400;

    double m_count = 1;
    double m_sum = priorSeconds;
    double m_sumOfSquares = priorSeconds * priorSeconds + priorDeviation * priorDeviation;
};

} // namespace acaciafork::batch
