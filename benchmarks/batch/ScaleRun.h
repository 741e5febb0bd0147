#pragma once

#include <cstdint>

namespace acaciafork::batch::fakes {

/// What the scheduler costs at one size.
struct ScaleFigures
{
    std::uint32_t workers = 0;
    std::size_t tasks = 0;
    /// Placements a second on one core, from submission to the reported start, reports apart.
    double placementsPerSecond = 0;
    /// Processor time of one second of the fleet's reports, in seconds.
    double reportSeconds = 0;
    /// Longest single event, in milliseconds.
    double longestEventMs = 0;
    /// Memory that the scheduler holds, in megabytes.
    double memoryMb = 0;
    /// Memory with a tenth of the day's jobs waiting as well.
    std::size_t waiting = 0;
};

/// Fills a fleet, then has it start and end jobs at a steady rate.
ScaleFigures runScale(std::uint32_t workers);

} // namespace acaciafork::batch::fakes
