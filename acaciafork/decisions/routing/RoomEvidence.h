#pragma once

#include "acaciafork/decisions/routing/GrantorCommands.h"
#include "acaciafork/decisions/routing/GrantorTables.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"

namespace acaciafork::routing {

/// Frees what lost and unreported entries may hold, as soon as an announcement proves that the
/// endpoint no longer runs it.
class RoomEvidence
{
public:
    /// @param[in] tables outlive the object
    RoomEvidence(GrantorTables *tables, const CreditSettings &settings);

    /// Judges the newest announcement of an endpoint, which came at `now`.
    /// @param[in] settledAt from when on nobody starts anything under an earlier leadership
    void take(Timestamp now, TableIndex endpoint, Timestamp settledAt, GrantorCommands *out);

private:
    [[nodiscard]] bool provesSince(Timestamp now, Timestamp startsEndAt) const;
    void takeUnknown(Timestamp now, TableIndex endpoint, Timestamp settledAt);
    void takeLost(Timestamp now, TableIndex endpoint, TableIndex session, GrantorCommands *out);
    [[nodiscard]] std::uint32_t runningUnknown(const GrantorEndpoint &endpoint) const;
    [[nodiscard]] bool knownPrefix(std::uint64_t prefix) const;

    GrantorTables *m_tables;
    CreditSettings m_settings;
};

} // namespace acaciafork::routing
