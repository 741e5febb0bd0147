#pragma once

#include "acaciafork/core/Random.h"
#include "acaciafork/decisions/routing/EndpointTable.h"

namespace acaciafork::routing {

/// Chooses the endpoint for a request among those with a free slot: of two drawn at random, the
/// one with less expected work; the entry's own zone first.
class Router
{
public:
    /// @param[in] generator drawn from; outlives the router
    explicit Router(RandomGenerator *generator);

    /// Endpoint for a request of `service`, or noIndex when no slot is free.
    /// @param[in] expected service time expected of the request
    /// @param[in] avoid endpoint of the last attempt, avoided with its rack if others are free
    TableIndex choose(Timestamp now, const EntryService &service, const EndpointTable &endpoints,
                      Duration expected, TableIndex avoid);

private:
    TableIndex chooseFrom(Timestamp now, const EntryService &service, const IndexPool &pool,
                          const EndpointTable &endpoints, Duration expected, TableIndex avoid);
    TableIndex draw(const IndexPool &pool, const EndpointTable &endpoints, TableIndex avoid);
    std::size_t randomBelow(std::size_t bound);

    RandomGenerator *m_generator;
};

} // namespace acaciafork::routing
