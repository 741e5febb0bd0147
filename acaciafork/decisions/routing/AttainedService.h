#pragma once

#include <cstdint>
#include <vector>

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Service that each route of one service has attained lately, decaying with time. Routes that
/// attained the least are served first.
class AttainedService
{
public:
    AttainedService();

    /// Adds service time given to a request of the route.
    void add(Timestamp now, std::uint64_t routeHash, Duration serviceTime);

    /// Slots that the route has kept busy lately, on average.
    [[nodiscard]] double slotsUsed(Timestamp now, std::uint64_t routeHash) const;

private:
    struct Record
    {
        std::uint64_t routeHash = 0;
        Timestamp at;
        /// Service time in microseconds, decayed up to `at`.
        double attained = 0;
    };

    static constexpr std::size_t tableSize = 1024;

    std::vector<Record> m_routes;
};

} // namespace acaciafork::routing
