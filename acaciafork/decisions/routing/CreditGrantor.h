#pragma once

#include <span>

#include "acaciafork/decisions/routing/CapacityEvidence.h"
#include "acaciafork/decisions/routing/GrantAllocator.h"
#include "acaciafork/decisions/routing/GrantorCommands.h"
#include "acaciafork/decisions/routing/GrantorTables.h"
#include "acaciafork/decisions/routing/Messages.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"
#include "acaciafork/decisions/routing/TombstoneTable.h"

namespace acaciafork::routing {

/// Grants slots of endpoints to entries. Runs on the control leader and keeps only soft state. For
/// each endpoint, the sum of what entries hold or may still accept, what lost entries may still be
/// running, and what entries that have not reported may hold, never exceeds its slots and
/// connections.
class CreditGrantor
{
public:
    /// @param[in] settings the same as in every entry
    explicit CreditGrantor(const CreditSettings &settings);

    CreditGrantor(const CreditGrantor &) = delete;
    CreditGrantor &operator=(const CreditGrantor &) = delete;

    /// To be called when this process has become leader and the lease of the previous leader has
    /// certainly expired. Discards all state from an earlier term.
    /// @param[in] term increases with each change of leader
    /// @param[in] knownEntries entries that may hold credit from an earlier term
    /// @param[in] allEntriesKnown true when no other entry can hold such credit
    void becameLeader(Timestamp now, std::uint64_t term, std::span<const ProcessId> knownEntries,
                      bool allEntriesKnown, GrantorCommands *out);

    /// To be called when this process is no longer leader; nothing is granted from then on.
    void lostLeadership() { m_term = 0; }

    /// Processes a report from an entry and answers it.
    void creditReport(Timestamp now, const CreditReport &report, GrantorCommands *out);

    /// Processes an announcement, received through any entry.
    void endpointAnnounced(Timestamp now, const EndpointAnnouncement &announcement,
                           GrantorCommands *out);

    /// Stops grants for an endpoint that is leaving.
    void endpointLeaving(Timestamp now, const LeavingNotice &notice, GrantorCommands *out);

    /// To be called when the link to an entry is lost. The entry's credit stays charged until it is
    /// proven free.
    void entryLost(Timestamp now, ProcessId entry, GrantorCommands *out);

    /// Applies the service settings that grants depend on.
    void configApplied(std::span<const ServiceSettings> services);

    /// Does periodic work; to be called about every 10 ms.
    void tick(Timestamp now, GrantorCommands *out);

    /// The tables, for counters and tests.
    [[nodiscard]] const GrantorTables &tables() const { return m_tables; }

private:
    [[nodiscard]] bool leading() const { return m_term != 0; }
    TableIndex sessionFor(const CreditReport &report, GrantorCommands *out);
    void requestFullReport(const CreditReport &report, GrantorCommands *out) const;
    void applyHolding(Timestamp now, TableIndex session, const CreditHolding &reported);
    void applyFullReport(TableIndex session, const CreditReport &report);
    void recordReported(Timestamp now, ProcessId entry);
    void quarantine(TableIndex session, GrantorCommands *out);
    void grantTo(Timestamp now, TableIndex session, GrantorCommands *out);
    void reclaim(Timestamp now, TableIndex endpoint, GrantorCommands *out);
    void expireSessions(Timestamp now, GrantorCommands *out);
    void sweepEndpoints(Timestamp now, GrantorCommands *out);

    CreditSettings m_settings;
    std::uint64_t m_term = 0;
    /// Known entries that have not reported yet.
    std::vector<ProcessId> m_unreported;
    bool m_allEntriesKnown = false;
    /// Time after which no entry can start attempts under a lease of an earlier term.
    Timestamp m_earlierLeasesExpireAt;
    /// Time until which this leader may still be missing endpoints that its predecessor knew.
    Timestamp m_learningUntil;
    GrantorTables m_tables;
    CapacityEvidence m_evidence;
    GrantAllocator m_allocator;
    TombstoneTable m_tombstones;
    Timestamp m_lastSweep;
};

} // namespace acaciafork::routing
