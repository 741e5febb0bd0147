#pragma once

#include <array>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/routing/AttainedService.h"
#include "acaciafork/decisions/routing/IndexPool.h"
#include "acaciafork/decisions/routing/Messages.h"
#include "acaciafork/decisions/routing/OverloadDetector.h"
#include "acaciafork/decisions/routing/RequestQueue.h"
#include "acaciafork/decisions/routing/RetryBudget.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"
#include "acaciafork/decisions/routing/ServiceTimeEstimator.h"

namespace acaciafork::routing {

/// What one entry keeps for a service.
struct EntryService
{
    ServiceSettings settings;
    /// False for a service that is no longer configured: nothing new is accepted.
    bool configured = true;

    RequestQueue queue;
    ServiceTimeEstimator estimator;
    RetryBudget retries;

    /// Endpoints with a free slot, in the entry's own zone and in the others.
    IndexPool localPool;
    IndexPool remotePool;

    /// Slots held at endpoints in service, and at ejected ones.
    std::uint32_t heldSlots = 0;
    std::uint32_t ejectedSlots = 0;
    /// Attempts not known to have ended.
    std::uint32_t inUse = 0;
    /// Of those: long and batch work.
    std::uint32_t longInUse = 0;
    /// Of those: streams.
    std::uint32_t streamsInUse = 0;
    /// Endpoints known and ejected.
    std::uint32_t endpoints = 0;
    std::uint32_t ejected = 0;
    /// Work that has arrived lately, short and other, in slots that it would keep busy.
    double offeredShort = 0;
    double offeredOther = 0;
    /// Work that has arrived since the last tick.
    Duration arrivedShort {};
    Duration arrivedOther {};
    /// Slots that the control leader wants this entry to hold at most.
    std::uint32_t targetSlots = UINT32_MAX;
    /// Peak of the slots needed, decaying.
    double wantedPeak = 0;
    /// Slots wanted in the last report.
    std::uint32_t wantedReported = 0;
    std::array<OverloadDetector, laneCount> overload {};
    /// Attempts of short work in order of their start, to find those that have become long.
    std::deque<AttemptId> shortAttempts;
    AttainedService attained;
    /// Peers with spare credit.
    std::vector<SpareHint> spares;

    /// True when a request of the lane may take a free slot now.
    [[nodiscard]] bool laneCanStart(Lane lane) const;
    /// Slots that the lane can count on.
    [[nodiscard]] std::uint32_t laneSlots(Lane lane) const;
    /// Time that a request of the lane would wait now.
    [[nodiscard]] Duration expectedWait(Lane lane) const;
    /// True when any endpoint has a free slot.
    [[nodiscard]] bool hasFreeSlot() const { return !localPool.empty() || !remotePool.empty(); }
    /// Slots kept free of long work.
    [[nodiscard]] std::uint32_t reservedSlots() const;
    /// Notes that work of a lane has arrived, whatever becomes of it.
    void recordArrival(Lane lane, Duration expected);
    /// Averages what has arrived over the time since the last call.
    void updateOfferedLoad(Duration elapsed);
    /// Slots held and not in use.
    [[nodiscard]] std::uint32_t spareSlots() const;
    /// Adds an attempt of the lane to the counts, or takes it off again.
    void countAttempt(Lane lane, bool countsAsLong, int change);
};

/// The services known to one entry.
class ServiceTable
{
public:
    /// Takes over a configuration: services that it does not name accept nothing more.
    void configure(std::span<const ServiceSettings> services);

    /// Row of a service, or noIndex.
    [[nodiscard]] TableIndex find(const ServiceName &name) const;

    EntryService &operator[](TableIndex index) { return m_services[index]; }
    const EntryService &operator[](TableIndex index) const { return m_services[index]; }
    [[nodiscard]] TableIndex size() const { return static_cast<TableIndex>(m_services.size()); }

private:
    std::deque<EntryService> m_services;
    std::unordered_map<ServiceName, TableIndex> m_byName;
};

} // namespace acaciafork::routing
