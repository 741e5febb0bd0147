#include "acaciafork/decisions/routing/Router.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Draws made to find an endpoint outside the rack of the last attempt.
constexpr int avoidanceDraws = 6;
/// Times its expected work by which a brand-new endpoint is held back.
constexpr float newEndpointWeight = 4;

/// Work expected to stand between the request and its answer at the endpoint, in microseconds.
float expectedWork(Timestamp now, const EntryEndpoint &endpoint, Duration expected,
                   Duration slowStart)
{
    const std::int64_t remaining = endpoint.expectedEnds - endpoint.inUse * toMicroseconds(now);
    float own = static_cast<float>(expected.count()) * endpoint.slowness;

    // A new endpoint has cold caches: it looks dearer until its slow start is over.
    const Duration age = now - endpoint.firstCredit;
    if (age < slowStart) {
        const float missing = 1 - static_cast<float>(age.count()) / slowStart.count();
        own *= 1 + newEndpointWeight * missing;
    }
    return own + static_cast<float>(std::max<std::int64_t>(remaining, 0));
}

} // namespace

Router::Router(RandomGenerator *generator)
    : m_generator(generator)
{ }

std::size_t Router::randomBelow(std::size_t bound)
{
    // Multiply and shift maps 32 random bits onto the range without a division.
    const std::uint64_t bits = (*m_generator)() >> 32U;
    return (bits * bound) >> 32U;
}

TableIndex Router::draw(const IndexPool &pool, const EndpointTable &endpoints, TableIndex avoid)
{
    TableIndex drawn = pool.at(randomBelow(pool.size()));
    if (avoid == noIndex)
        return drawn;
    const TableIndex rack = endpoints[avoid].rackIndex;
    for (int it = 0; it < avoidanceDraws && endpoints[drawn].rackIndex == rack; ++it)
        drawn = pool.at(randomBelow(pool.size()));
    return drawn;
}

TableIndex Router::chooseFrom(Timestamp now, const EntryService &service, const IndexPool &pool,
                              const EndpointTable &endpoints, Duration expected, TableIndex avoid)
{
    const TableIndex a = draw(pool, endpoints, avoid);
    const TableIndex b = draw(pool, endpoints, avoid);
    if (a == b)
        return a;
    const Duration slowStart = service.settings.slowStart;
    const float workA = expectedWork(now, endpoints[a], expected, slowStart);
    const float workB = expectedWork(now, endpoints[b], expected, slowStart);
    return workB < workA ? b : a;
}

TableIndex Router::choose(Timestamp now, const EntryService &service,
                          const EndpointTable &endpoints, Duration expected, TableIndex avoid)
{
    if (!service.localPool.empty())
        return chooseFrom(now, service, service.localPool, endpoints, expected, avoid);
    if (!service.remotePool.empty())
        return chooseFrom(now, service, service.remotePool, endpoints, expected, avoid);
    return noIndex;
}

} // namespace acaciafork::routing
