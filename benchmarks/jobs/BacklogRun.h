#pragma once

#include <cstddef>
#include <cstdint>

#include "acaciafork/core/Core.h"

namespace acaciafork::jobs {

/// Jobs that a leader holds and that no worker runs.
struct BacklogOptions
{
    std::size_t jobs = 8;
    /// Steps of each occurrence, one after the other, and tasks of a step.
    std::uint32_t steps = 2;
    std::uint32_t tasks = 30;
    /// Number of occurrences; 0 for jobs without a schedule.
    std::uint32_t occurrences = 1440;
    /// All occurrences are due; otherwise none is.
    bool isDue = false;
};

/// What the jobs cost.
struct BacklogResult
{
    /// Heap that the jobs take, all together.
    std::size_t bytes = 0;
    /// Longest single call of the scheduler while the jobs are accepted and in the seconds after.
    Duration longestCall {};
    /// Time that a new leader takes to begin its tenure with them, and its longest call afterwards.
    Duration begin {};
    Duration longestCallAfterBegin {};
};

/// Accepts the jobs, lets time pass, and begins another tenure with them, in virtual time.
BacklogResult runBacklog(const BacklogOptions &options);

} // namespace acaciafork::jobs
