#pragma once

#include <span>
#include <unordered_map>

#include "acaciafork/decisions/routing/GrantorTables.h"
#include "acaciafork/decisions/routing/Messages.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"

namespace acaciafork::routing {

/// Decides how many slots of a service each entry should hold, and at which endpoints.
class GrantAllocator
{
public:
    /// @param[in] tables outlive the object
    GrantAllocator(GrantorTables *tables, const CreditSettings &settings);

    /// Takes over the apertures of the services.
    void configure(std::span<const ServiceSettings> services);

    /// Shares the room of a service out among the live entries by their demand.
    void setTargets(TableIndex service);

    /// Adds to `grant` what the session should be told: new slots up to its targets, grants that
    /// may have been lost, evidence for lingering attempts, and peers with spare credit.
    void fillGrant(Timestamp now, TableIndex session, CreditGrant *grant);

    /// Adds the slots that the session should hold at most, for each service.
    void addTargets(TableIndex session, CreditGrant *grant);

    /// True when a session lacks slots and some are free.
    [[nodiscard]] bool canGrantMore(TableIndex session);

    /// Takes slots back from entries until those granted fit the endpoint's room again.
    /// @param[out] changed sessions that must be told
    void reclaim(Timestamp now, TableIndex endpoint, std::vector<TableIndex> *changed);

private:
    void allocate(Timestamp now, TableIndex session, TableIndex service, CreditGrant *grant);
    TableIndex pickEndpoint(TableIndex session, TableIndex service,
                            const std::vector<TableIndex> &held);
    [[nodiscard]] std::vector<TableIndex> heldWithFreeSlots(TableIndex session,
                                                            TableIndex service) const;
    [[nodiscard]] bool apertureReached(TableIndex session, TableIndex service);
    void setGrant(Timestamp now, TableIndex session, TableIndex endpoint, std::uint32_t slots);
    void addEndpointGrant(Timestamp now, TableIndex session, TableIndex endpoint,
                          CreditGrant *grant);
    void addUnresolved(Timestamp now, TableIndex session, CreditGrant *grant);
    void addHints(TableIndex session, TableIndex service, CreditGrant *grant);
    [[nodiscard]] std::uint32_t apertureFor(TableIndex service);

    GrantorTables *m_tables;
    CreditSettings m_settings;
    std::unordered_map<ServiceName, std::uint32_t> m_apertures;
};

} // namespace acaciafork::routing
