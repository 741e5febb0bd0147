#pragma once

#include <cstdint>
#include <vector>

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Learns how long the requests of one service take, for each route, from those that ended.
/// Constant memory: routes share a table of fixed size, and a route that collides replaces.
class ServiceTimeEstimator
{
public:
    ServiceTimeEstimator();

    /// Notes the service time of a request that was answered.
    void note(std::uint64_t routeHash, Duration serviceTime);

    /// Mean service time expected of a request of the route; zero when nothing is known.
    [[nodiscard]] Duration expected(std::uint64_t routeHash) const;

    /// Service time that nine of ten requests of the route stay under; zero when nothing is known.
    [[nodiscard]] Duration high(std::uint64_t routeHash) const;

    /// Mean service time over all routes; zero when nothing is known.
    [[nodiscard]] Duration serviceMean() const;

private:
    /// Decayed figures of one route, in microseconds.
    struct Record
    {
        std::uint64_t routeHash = 0;
        std::uint32_t count = 0;
        double mean = 0;
        double high = 0;

        void note(double us);
    };

    static constexpr std::size_t tableSize = 1024;

    [[nodiscard]] const Record &recordOf(std::uint64_t routeHash) const;

    std::vector<Record> m_routes;
    Record m_serviceRecord;
};

} // namespace acaciafork::routing
