#include "acaciafork/decisions/routing/ServiceTimeEstimator.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Requests over which the figures average once they have settled.
constexpr double averagingRequests = 200;
/// Quantile that `high` follows.
constexpr double highQuantile = 0.9;
/// Step of `high`, as a share of its own size.
constexpr double highStep = 0.05;
/// Requests of a route seen before its own figures are trusted.
constexpr std::uint32_t minTrustedCount = 8;

Duration fromDouble(double us)
{
    return Duration(static_cast<Duration::rep>(us));
}

} // namespace

ServiceTimeEstimator::ServiceTimeEstimator()
    : m_routes(tableSize)
{ }

void ServiceTimeEstimator::Record::note(double us)
{
    ++count;
    const double weight = 1 / std::min<double>(count, averagingRequests);
    mean += (us - mean) * weight;

    // Stochastic approximation: steps up and down balance where a tenth of the values is above.
    if (count == 1) {
        high = us;
        return;
    }
    const double step = highStep * std::max(high, 1.0);
    if (us > high)
        high += step * highQuantile;
    else
        high -= step * (1 - highQuantile);
}

void ServiceTimeEstimator::note(std::uint64_t routeHash, Duration serviceTime)
{
    const auto us = static_cast<double>(serviceTime.count());
    Record &record = m_routes[routeHash % tableSize];
    if (record.routeHash != routeHash)
        record = Record { .routeHash = routeHash };
    record.note(us);
    m_serviceRecord.note(us);
}

const ServiceTimeEstimator::Record &ServiceTimeEstimator::recordOf(std::uint64_t routeHash) const
{
    const Record &record = m_routes[routeHash % tableSize];
    const bool trusted = record.routeHash == routeHash && record.count >= minTrustedCount;
    return trusted ? record : m_serviceRecord;
}

Duration ServiceTimeEstimator::expected(std::uint64_t routeHash) const
{
    return fromDouble(recordOf(routeHash).mean);
}

Duration ServiceTimeEstimator::high(std::uint64_t routeHash) const
{
    return fromDouble(recordOf(routeHash).high);
}

Duration ServiceTimeEstimator::serviceMean() const
{
    return fromDouble(m_serviceRecord.mean);
}

} // namespace acaciafork::routing
