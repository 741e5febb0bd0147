#pragma once

#include "acaciafork/decisions/routing/GrantorCommands.h"
#include "acaciafork/decisions/routing/GrantorTables.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"

namespace acaciafork::routing {

/// Frees what lost and unreported entries may hold, as soon as an announcement proves that the
/// endpoint no longer runs it.
class CapacityEvidence
{
public:
    /// @param[in] tables outlive the object
    CapacityEvidence(GrantorTables *tables, const CreditSettings &settings);

    /// Judges the newest announcement of an endpoint, which came at `now`.
    /// @param[in] earlierLeasesExpireAt from when on nobody starts anything under an earlier
    /// leadership
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
