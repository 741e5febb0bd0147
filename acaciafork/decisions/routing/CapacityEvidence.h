#pragma once

#include "acaciafork/decisions/routing/GrantorCommands.h"
#include "acaciafork/decisions/routing/GrantorTables.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"

namespace acaciafork::routing {

/// Releases credit that lost and unreported entries may hold, as soon as an announcement proves
/// that the endpoint no longer runs their attempts.
class CapacityEvidence
{
public:
    /// @param[in] tables must outlive the object
    CapacityEvidence(GrantorTables *tables, const CreditSettings &settings);

    /// Evaluates the newest announcement of an endpoint, which arrived at `now`.
    /// @param[in] earlierLeasesExpireAt time after which no entry starts attempts under a lease of
    /// an earlier term
    void apply(Timestamp now, TableIndex endpoint, Timestamp earlierLeasesExpireAt,
               GrantorCommands *out);

private:
    [[nodiscard]] bool isConclusive(Timestamp now, Timestamp leaseExpiresAt) const;
    void releaseUnreported(Timestamp now, TableIndex endpoint, Timestamp earlierLeasesExpireAt);
    void releaseLost(Timestamp now, TableIndex endpoint, TableIndex session, GrantorCommands *out);
    [[nodiscard]] std::uint32_t countUnreportedRunning(const GrantorEndpoint &endpoint) const;
    [[nodiscard]] bool isKnownPrefix(std::uint64_t prefix) const;

    GrantorTables *m_tables;
    CreditSettings m_settings;
};

} // namespace acaciafork::routing
