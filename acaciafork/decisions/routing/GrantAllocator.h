#pragma once

#include <span>
#include <unordered_map>

#include "acaciafork/decisions/routing/GrantorTables.h"
#include "acaciafork/decisions/routing/Messages.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"

namespace acaciafork::routing {

/// Decides how many slots of a service each entry should hold and at which endpoints.
class GrantAllocator
{
public:
    /// @param[in] tables must outlive the object
    GrantAllocator(GrantorTables *tables, const CreditSettings &settings);

    /// Applies the configured apertures of the services.
    void configure(std::span<const ServiceSettings> services);

    /// Divides the capacity of a service among the live entries according to their demand.
    void setTargets(TableIndex service);

    /// Adds to `grant`: new slots up to the session's targets, grants that may have been lost,
    /// evidence about lingering attempts, and peers with spare credit.
    void fillGrant(Timestamp now, TableIndex session, CreditGrant *grant);

    /// Adds, for each service, the maximum number of slots that the session should hold.
    void addTargets(TableIndex session, CreditGrant *grant);

    /// True when a session is below a target and could be granted a free slot.
    [[nodiscard]] bool canGrantMore(TableIndex session);

    /// Lowers grants at the endpoint until their sum no longer exceeds its capacity.
    /// @param[out] changed sessions whose grant was lowered and must be sent
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
