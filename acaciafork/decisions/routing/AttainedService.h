#pragma once

#include <cstdint>
#include <vector>

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Recent service time of each route of one service, decaying exponentially. Used for
/// least-attained-service scheduling: the route with the least attained service is served first.
/// Routes that hash to the same row displace each other.
class AttainedService
{
public:
    AttainedService();

    /// Adds the service time of a finished request of the route.
    void add(Timestamp now, std::uint64_t routeHash, Duration serviceTime);

    /// Average number of slots that the route has recently kept busy.
    [[nodiscard]] double slotsUsed(Timestamp now, std::uint64_t routeHash) const;

private:
    struct Record
    {
        std::uint64_t routeHash = 0;
        Timestamp at;
        /// Service time in microseconds, decayed to the time `at`.
        double attained = 0;
    };

    static constexpr std::size_t tableSize = 1024;

    std::vector<Record> m_routes;
};

} // namespace acaciafork::routing
