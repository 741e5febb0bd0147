#pragma once

#include <cstddef>
#include <cstdint>

#include "acaciafork/core/Core.h"

namespace acaciafork::relocation {

/// Settings of the planner.
struct RelocationSettings
{
    /// Maximum number of moves in one plan.
    std::size_t maxMoves = 3;
    /// Maximum part of a pool's capacity on open workers, in percent.
    std::int64_t maxOpenPercent = 50;
    /// Part of its reservation that a serving task is expected to use, in percent.
    std::int64_t servingUsePercent = 45;
    /// Part of the workers that are not open which the other tasks may fill, in percent. Less than
    /// a whole one, since tasks leave gaps.
    std::int64_t maxFillPercent = 95;
    /// Open workers are closed once the other tasks fill more than this part of the rest, in
    /// percent; above maxFillPercent.
    std::int64_t closeFillPercent = 98;
    /// A worker stays open for at least this long, unless serving tasks need its room.
    Duration minOpenTime = std::chrono::seconds(5);
    /// A closed worker is not opened again for this long.
    Duration minClosedTime = std::chrono::seconds(5);
    /// An open worker that is unusable for less than this is not replaced, and open again
    /// afterwards.
    Duration replaceAfter = std::chrono::seconds(5);
    /// A task stays on a worker for at least this long.
    Duration minStayTime = std::chrono::seconds(5);
    /// An open worker none of whose tasks could be moved for this long supplies nothing.
    Duration stuckAfter = std::chrono::seconds(10);
    /// Such a worker, once closed, is not opened again for this long, or, where tasks on it may not
    /// move, until there are fewer such tasks.
    Duration retryStuckAfter = std::chrono::seconds(60);
    /// Room that a move is to vacate is waited for this long.
    Duration swapTimeout = std::chrono::seconds(3);
};

} // namespace acaciafork::relocation
