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

/// Hands out the slots of endpoints to entries, on the control leader, as soft state. For each
/// endpoint: what entries hold or may yet take in, what lost entries may still be running, and
/// what entries may hold that have not reported, together never exceed its slots and connections.
class CreditGrantor
{
public:
    /// @param[in] settings the same as in every entry
    explicit CreditGrantor(const CreditSettings &settings);

    CreditGrantor(const CreditGrantor &) = delete;
    CreditGrantor &operator=(const CreditGrantor &) = delete;

    /// This process has become leader; to be called once the lease of the leader before it is
    /// surely over. Everything known from an earlier leadership is forgotten.
    /// @param[in] term grows with each leadership
    /// @param[in] knownEntries entries that may hold credit of an earlier leadership
    /// @param[in] complete true when no other entry can hold any
    void becameLeader(Timestamp now, std::uint64_t term, std::span<const ProcessId> knownEntries,
                      bool allEntriesKnown, GrantorCommands *out);

    /// This process leads no longer: nothing is granted.
    void lostLeadership() { m_term = 0; }

    /// A report has come from an entry.
    void creditReport(Timestamp now, const CreditReport &report, GrantorCommands *out);

    /// An announcement has come, by way of any entry.
    void endpointAnnounced(Timestamp now, const EndpointAnnouncement &announcement,
                           GrantorCommands *out);

    /// An endpoint leaves.
    void endpointLeaving(Timestamp now, const LeavingNotice &notice, GrantorCommands *out);

    /// An entry's link is gone. Its credit stays charged until it is surely free.
    void entryLost(Timestamp now, ProcessId entry, GrantorCommands *out);

    /// Service settings that grants depend on, from the configuration in force.
    void configApplied(std::span<const ServiceSettings> services);

    /// Time has passed; to be called about every 10 ms.
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
    /// From when on nobody can start anything under an earlier leadership.
    Timestamp m_earlierLeasesExpireAt;
    /// Until when endpoints may yet be unknown that have been announced to the leader before.
    Timestamp m_learningUntil;
    GrantorTables m_tables;
    CapacityEvidence m_evidence;
    GrantAllocator m_allocator;
    TombstoneTable m_tombstones;
    Timestamp m_lastSweep;
};

} // namespace acaciafork::routing
