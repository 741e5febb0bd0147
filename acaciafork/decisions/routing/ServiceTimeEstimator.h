#pragma once

#include <cstdint>
#include <vector>

#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// Estimates the service times of one service, for each route, from answered requests. Uses
/// constant memory: the table has a fixed size, and on a hash collision the new route replaces the
/// old one.
class ServiceTimeEstimator
{
public:
    ServiceTimeEstimator();

    /// Adds the service time of an answered request.
    void note(std::uint64_t routeHash, Duration serviceTime);

    /// Expected (mean) service time of a request of the route; zero when nothing is known.
    [[nodiscard]] Duration expected(std::uint64_t routeHash) const;

    /// 90th percentile of the route's service time; zero when nothing is known.
    [[nodiscard]] Duration high(std::uint64_t routeHash) const;

    /// Mean service time over all routes; zero when nothing is known.
    [[nodiscard]] Duration serviceMean() const;

private:
    /// Exponentially decayed statistics of one route, in microseconds.
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
