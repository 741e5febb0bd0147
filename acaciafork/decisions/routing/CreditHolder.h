#pragma once

#include <array>
#include <vector>

#include "acaciafork/decisions/routing/AttemptTable.h"
#include "acaciafork/decisions/routing/EndpointTable.h"
#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/TombstoneTable.h"

namespace acaciafork::routing {

/// The entry's side of the credit protocol: takes in grants, keeps the lease, gives credit back
/// and reports to the control leader.
class CreditHolder
{
public:
    /// Who this entry is and what it works on.
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

    /// @param[in] options the tables outlive the holder
    explicit CreditHolder(const Options &options);

    /// A leader of this term can be reached; the next report is full.
    void controlLeaderFound(std::uint64_t term);

    /// No leader can be reached. Credit is used until its lease is over.
    void controlLeaderLost() { m_connected = false; }

    /// Wants no more credit and gives back what is idle.
    void drain() { m_draining = true; }

    /// Takes in a grant. Old, repeated and crossed ones change nothing.
    /// @param[out] ended lingering attempts that the grant proves to have ended
    void applyGrant(Timestamp now, const CreditGrant &grant, std::vector<AttemptId> *ended);

    /// Drops all credit once the lease is over.
    void checkLease(Timestamp now);

    /// Gives idle slots back that are above the target of the service.
    void returnSurplus(TableIndex service);

    /// Closes idle connections that are above what the entry may have open.
    void trimConnections(EntryCommands *out);

    /// Marks the holding at an endpoint as changed since it was reported.
    void markChanged(TableIndex endpoint);

    /// Appends a report if one is due.
    void report(Timestamp now, EntryCommands *out);

    /// True while requests may be started.
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
    /// First report of this term that was full; 0 when none was sent.
    std::uint64_t m_firstFullReport = 0;
    bool m_fullAcknowledged = false;
    bool m_connected = false;
    bool m_draining = false;
    Timestamp m_lastReportAt;
    Timestamp m_leaseUntil;
    std::array<SentReport, sentReportCapacity> m_sent {};
    /// Rows whose holding the leader does not have yet, in no order.
    std::vector<TableIndex> m_changed;
};

} // namespace acaciafork::routing
