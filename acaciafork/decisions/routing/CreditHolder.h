#pragma once

#include <array>
#include <vector>

#include "acaciafork/decisions/routing/AttemptTable.h"
#include "acaciafork/decisions/routing/EndpointTable.h"
#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/TombstoneTable.h"

namespace acaciafork::routing {

/// The entry's side of the credit protocol: applies grants, enforces the lease, returns unused
/// credit and reports to the control leader. Credit is the right to use slots of endpoints.
class CreditHolder
{
public:
    /// Identity of this entry, and the tables that it works on.
    struct Options
    {
        ProcessId process;
        Incarnation incarnation;
        ZoneName zone;
        CreditSettings settings;
        ServiceTable *services = nullptr;
        EndpointTable *endpoints = nullptr;
        AttemptTable *attempts = nullptr;
        TombstoneTable *tombstones = nullptr;
    };

    /// @param[in] options the tables must outlive this object
    explicit CreditHolder(const Options &options);

    /// The control leader of a term is reachable. In a new term the next report is a full one.
    void controlLeaderFound(std::uint64_t term);

    /// No control leader is reachable. Credit stays usable until its lease expires.
    void controlLeaderLost() { m_connected = false; }

    /// Asks for no more credit, and returns idle slots from now on.
    void drain() { m_draining = true; }

    /// Applies a grant. Outdated, repeated and reordered grants change nothing.
    /// @param[out] ended lingering attempts that the grant proves to have ended
    void applyGrant(Timestamp now, const CreditGrant &grant, std::vector<AttemptId> *ended);

    /// Drops all credit once the lease has expired.
    void checkLease(Timestamp now);

    /// Returns idle slots of a service that exceed its target.
    void returnSurplus(TableIndex service);

    /// Closes idle connections that exceed what the entry may have open at an endpoint.
    void trimConnections(EntryCommands *out);

    /// Marks the credit held at an endpoint as changed since the last report.
    void markChanged(TableIndex endpoint);

    /// Appends a report if one is due.
    void report(Timestamp now, EntryCommands *out);

    /// True while the lease on the credit has not expired.
    [[nodiscard]] bool leaseHeld(Timestamp now) const { return now < m_leaseUntil; }

private:
    struct SentReport
    {
        std::uint64_t number = 0;
        Timestamp at;
    };
    static constexpr std::size_t sentReportCapacity = 256;

    [[nodiscard]] const SentReport *sentReport(std::uint64_t number) const;
    void applyEndpointGrant(Timestamp now, const EndpointGrant &grant);
    void applyEvidence(Timestamp reportSentAt, const EndpointGrant &grant,
                       std::vector<AttemptId> *ended);
    void reduceHolding(TableIndex index, std::uint32_t slots);
    void acknowledge(std::uint64_t reportNumber);
    [[nodiscard]] bool reportDue(Timestamp now) const;
    CreditReport makeReport(Timestamp now);
    void addDemands(CreditReport *report);
    void addHolding(TableIndex index, CreditReport *report);

    Options m_options;
    std::uint64_t m_term = 0;
    std::uint64_t m_lastReport = 0;
    /// Number of the first full report of this term; 0 when none was sent.
    std::uint64_t m_firstFullReport = 0;
    bool m_fullAcknowledged = false;
    bool m_connected = false;
    bool m_draining = false;
    Timestamp m_lastReportAt;
    Timestamp m_leaseUntil;
    std::array<SentReport, sentReportCapacity> m_sent {};
    /// Endpoints whose current holding the leader has not acknowledged, in no order.
    std::vector<TableIndex> m_changed;
};

} // namespace acaciafork::routing
