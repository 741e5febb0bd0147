#pragma once

#include "acaciafork/core/Random.h"
#include "acaciafork/decisions/routing/EndpointTable.h"

namespace acaciafork::routing {

/// Chooses an endpoint with a free slot for a request: draws two at random and takes the one with
/// less expected work. Prefers the entry's own zone.
class Router
{
public:
    /// @param[in] generator source of randomness; must outlive the router
    explicit Router(RandomGenerator *generator);

    /// Endpoint for a request of `service`, or noIndex when no slot is free.
    /// @param[in] expected expected service time of the request
    /// @param[in] avoid endpoint of the previous attempt; it and its rack are avoided if possible
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
