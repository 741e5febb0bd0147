#include "acaciafork/decisions/routing/AttainedService.h"

#include <cmath>

namespace acaciafork::routing {
namespace {

/// Time over which attained service is forgotten, in microseconds.
constexpr double decayTimeConstant = 5e6;

/// What is left after the time from `from` to `to`.
double decayFactor(Timestamp from, Timestamp to)
{
    return std::exp(-static_cast<double>((to - from).count()) / decayTimeConstant);
}

} // namespace

AttainedService::AttainedService()
    : m_routes(tableSize)
{ }

void AttainedService::add(Timestamp now, std::uint64_t routeHash, Duration serviceTime)
{
    Record &record = m_routes[routeHash % tableSize];
    if (record.routeHash != routeHash)
        record = Record { .routeHash = routeHash, .at = now };
    record.attained = record.attained * decayFactor(record.at, now)
            + static_cast<double>(serviceTime.count());
    record.at = now;
}

double AttainedService::slotsUsed(Timestamp now, std::uint64_t routeHash) const
{
    const Record &record = m_routes[routeHash % tableSize];
    if (record.routeHash != routeHash)
        return 0;
    return record.attained * decayFactor(record.at, now) / decayTimeConstant;
}

} // namespace acaciafork::routing
