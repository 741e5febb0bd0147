#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"

namespace acaciafork::routing {

/// What an endpoint says of itself, about once a second, through any entry.
struct EndpointAnnouncement
{
    EndpointName endpoint;
    ServiceName service;
    /// Where it accepts requests, `IP:port`.
    std::string address;
    ZoneName zone;
    RackName rack;
    Incarnation incarnation;
    /// Grows with each announcement of one incarnation.
    std::uint64_t sequence = 0;
    /// Requests that it has room for at once.
    std::uint32_t slots = 0;
    /// Connections that it has room for at once.
    std::uint32_t connections = 0;
    /// Requests running when the announcement was made.
    std::uint32_t requestsInProgress = 0;
    /// True when `attemptsInProgress` lists every running attempt.
    bool listsAttempts = false;
    std::vector<AttemptId> attemptsInProgress;
    /// True when it takes no new work.
    bool leaving = false;
};

/// Word that an endpoint takes no new work; goes from entry to entry.
struct LeavingNotice
{
    EndpointName endpoint;
    /// The newest incarnation that the notice is for; a higher one is a new endpoint.
    Incarnation incarnation;
};

/// What an entry asks for one service.
struct ServiceDemand
{
    ServiceName service;
    /// Slots that it could use now: requests running and waiting, with its recent peak.
    std::uint32_t wanted = 0;
    /// Slots that it holds.
    std::uint32_t held = 0;
    /// Slots held without a request in them.
    std::uint32_t spare = 0;
};

/// What an entry holds at one endpoint.
struct CreditHolding
{
    EndpointName endpoint;
    ServiceName service;
    /// Newest grant that the entry has taken in; it ignores all older ones from now on.
    std::uint64_t grantNumber = 0;
    /// Slots that it may still start requests in under that grant, those in use included.
    std::uint32_t slots = 0;
    /// Attempts not known to have ended, late ones included.
    std::uint32_t inUse = 0;
    /// Attempts given up on but not known to have ended.
    std::uint32_t lingering = 0;
    /// Connections that it may have open; those not known to be closed included.
    std::uint32_t connections = 0;
    /// Requests that the endpoint refused as over its room since the last report taken in.
    std::uint32_t refusals = 0;
};

/// Report of an entry to the control leader. Lost, repeated and crossed reports do no harm: a
/// report holds every holding that changed since the newest report known to have arrived.
struct CreditReport
{
    ProcessId entry;
    Incarnation entryIncarnation;
    ZoneName zone;
    /// Leadership that the report is for.
    std::uint64_t term = 0;
    /// Grows with each report of one incarnation.
    std::uint64_t number = 0;
    /// True when it lists every holding: first reports to a new leader.
    bool full = false;
    /// True when the entry is draining and wants nothing more.
    bool draining = false;
    std::vector<ServiceDemand> demands;
    std::vector<CreditHolding> holdings;
    /// In full reports: endpoints known to leave or to have left, the latest of them.
    std::vector<LeavingNotice> leaving;
};

/// What the newest announcement of an endpoint proves about attempts that were given up on.
struct ProgressEvidence
{
    /// Time since the announcement reached the grantor, when the grant was sent.
    Duration age {};
    std::uint32_t requestsInProgress = 0;
    bool listsAttempts = false;
    std::vector<AttemptId> attemptsInProgress;
};

/// Slots of one endpoint granted to one entry; replaces the last grant of them.
struct EndpointGrant
{
    EndpointName endpoint;
    ServiceName service;
    std::string address;
    ZoneName zone;
    RackName rack;
    Incarnation incarnation;
    /// Grows with each grant of one leadership to one entry.
    std::uint64_t grantNumber = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Present only for endpoints at which the entry reported lingering attempts.
    bool hasEvidence = false;
    ProgressEvidence evidence;
};

/// How many slots of a service an entry should hold; it gives back what is above, idle ones first.
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

/// Answer of the control leader to a report; renews the lease on everything the entry holds.
struct CreditGrant
{
    ProcessId entry;
    Incarnation entryIncarnation;
    std::uint64_t term = 0;
    /// Newest report that the leader has taken in; the lease runs from when that was sent.
    std::uint64_t reportNumber = 0;
    /// True when the leader does not know the entry: the next report must be full.
    bool needFull = false;
    Duration lease {};
    std::vector<EndpointGrant> grants;
    std::vector<ServiceTarget> targets;
    std::vector<SpareHint> spares;
    /// In answers to full reports: endpoints known to leave or to have left, the latest of them.
    std::vector<LeavingNotice> leaving;
};

} // namespace acaciafork::routing
