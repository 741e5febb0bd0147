#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// State that an endpoint announces about once a second, through any entry.
struct EndpointAnnouncement
{
    EndpointName endpoint;
    ServiceName service;
    /// Address at which it accepts requests, `IP:port`.
    std::string address;
    ZoneName zone;
    RackName rack;
    Incarnation incarnation;
    /// Increases with each announcement of one incarnation.
    std::uint64_t sequence = 0;
    /// Maximum number of requests that it can run at once.
    std::uint32_t slots = 0;
    /// Maximum number of connections that it accepts at once.
    std::uint32_t connections = 0;
    /// Requests running when the announcement was made.
    std::uint32_t requestsInProgress = 0;
    /// True when `attemptsInProgress` lists every running attempt.
    bool listsAttempts = false;
    std::vector<AttemptId> attemptsInProgress;
    /// True when the endpoint is leaving and accepts no new work.
    bool leaving = false;
};

/// Notice that an endpoint accepts no new work. Entries pass it on to each other.
struct LeavingNotice
{
    EndpointName endpoint;
    /// The newest incarnation that the notice covers; a higher one counts as a new endpoint.
    Incarnation incarnation;
};

/// Demand of an entry for one service.
struct ServiceDemand
{
    ServiceName service;
    /// Slots that it could use now: running and waiting requests, or the recent peak if higher.
    std::uint32_t wanted = 0;
    /// Slots that it holds.
    std::uint32_t held = 0;
    /// Slots held that no request occupies.
    std::uint32_t spare = 0;
};

/// Credit that an entry holds at one endpoint.
struct CreditHolding
{
    EndpointName endpoint;
    ServiceName service;
    /// Newest grant that the entry has accepted; it ignores all older ones from then on.
    std::uint64_t grantNumber = 0;
    /// Slots that the entry may use under that grant, including those in use.
    std::uint32_t slots = 0;
    /// Attempts not known to have ended, including those that have timed out.
    std::uint32_t inUse = 0;
    /// Abandoned attempts that are not known to have ended.
    std::uint32_t lingering = 0;
    /// Connections that it may have open, including those not known to be closed.
    std::uint32_t connections = 0;
    /// Requests that the endpoint refused for lack of capacity since the last accepted report.
    std::uint32_t refusals = 0;
};

/// Report of an entry to the control leader. Reports may be lost, duplicated or reordered: each
/// lists every holding that changed since the newest report known to have arrived.
struct CreditReport
{
    ProcessId entry;
    Incarnation entryIncarnation;
    ZoneName zone;
    /// Term of the leader that the report is for.
    std::uint64_t term = 0;
    /// Increases with each report of one incarnation.
    std::uint64_t number = 0;
    /// True when it lists every holding, as the first reports to a new leader do.
    bool full = false;
    /// True when the entry is draining and wants no more slots.
    bool draining = false;
    std::vector<ServiceDemand> demands;
    std::vector<CreditHolding> holdings;
    /// In full reports: the endpoints most recently known to be leaving or to have left.
    std::vector<LeavingNotice> leaving;
};

/// Load from the newest announcement of an endpoint, from which an entry can tell which of its
/// abandoned attempts have ended.
struct ProgressEvidence
{
    /// Time from the arrival of the announcement at the grantor until the grant was sent.
    Duration age {};
    std::uint32_t requestsInProgress = 0;
    bool listsAttempts = false;
    std::vector<AttemptId> attemptsInProgress;
};

/// Slots of one endpoint granted to one entry; replaces the previous grant for that endpoint.
struct EndpointGrant
{
    EndpointName endpoint;
    ServiceName service;
    std::string address;
    ZoneName zone;
    RackName rack;
    Incarnation incarnation;
    /// Increases with each grant to one entry within a term.
    std::uint64_t grantNumber = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// True only for endpoints at which the entry reported lingering attempts.
    bool hasEvidence = false;
    ProgressEvidence evidence;
};

/// Number of slots of a service that an entry should hold; it returns the excess, idle slots first.
struct ServiceTarget
{
    ServiceName service;
    std::uint32_t slots = 0;
};

/// A peer entry that has spare credit for a service.
struct SpareHint
{
    ServiceName service;
    ProcessId peer;
    ZoneName zone;
    std::uint32_t slots = 0;
};

/// Answer of the control leader to a report; renews the lease on all credit of the entry.
struct CreditGrant
{
    ProcessId entry;
    Incarnation entryIncarnation;
    std::uint64_t term = 0;
    /// Newest report that the leader has processed; the lease runs from the time it was sent.
    std::uint64_t reportNumber = 0;
    /// True when the leader does not know the entry: the next report must be full.
    bool needFull = false;
    Duration lease {};
    std::vector<EndpointGrant> grants;
    std::vector<ServiceTarget> targets;
    std::vector<SpareHint> spares;
    /// In answers to full reports: the endpoints most recently known to be leaving or to have left.
    std::vector<LeavingNotice> leaving;
};

} // namespace acaciafork::routing
