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

/// State that one entry keeps for a service.
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

    /// Slots held at endpoints in service and at ejected endpoints.
    std::uint32_t heldSlots = 0;
    std::uint32_t ejectedSlots = 0;
    /// Attempts not known to have ended.
    std::uint32_t inUse = 0;
    /// Attempts among inUse that are long or batch work.
    std::uint32_t longInUse = 0;
    /// Attempts among inUse that are streams.
    std::uint32_t streamsInUse = 0;
    /// Number of known endpoints, and how many of them are ejected.
    std::uint32_t endpoints = 0;
    std::uint32_t ejected = 0;
    /// Recent offered load of short and of other work, as the number of slots it would keep busy.
    double offeredShort = 0;
    double offeredOther = 0;
    /// Work that has arrived since the last tick.
    Duration arrivedShort {};
    Duration arrivedOther {};
    /// Maximum number of slots that this entry should hold, set by the control leader.
    std::uint32_t targetSlots = UINT32_MAX;
    /// Decaying peak of the slots needed.
    double wantedPeak = 0;
    /// Slots requested in the last report.
    std::uint32_t wantedReported = 0;
    std::array<OverloadDetector, laneCount> overload {};
    /// Attempts of short work in start order, to find those that have run long enough to be long.
    std::deque<AttemptId> shortAttempts;
    AttainedService attained;
    /// Peers with spare credit.
    std::vector<SpareHint> spares;

    /// True when a request of the lane is allowed to take a free slot now.
    [[nodiscard]] bool laneCanStart(Lane lane) const;
    /// Slots that are available to the lane.
    [[nodiscard]] std::uint32_t laneSlots(Lane lane) const;
    /// Time that a new request of the lane is expected to wait.
    [[nodiscard]] Duration expectedWait(Lane lane) const;
    /// True when any endpoint has a free slot.
    [[nodiscard]] bool hasFreeSlot() const { return !localPool.empty() || !remotePool.empty(); }
    /// Slots that long work may not occupy.
    [[nodiscard]] std::uint32_t reservedSlots() const;
    /// Counts arriving work of a lane, whether or not it is accepted.
    void recordArrival(Lane lane, Duration expected);
    /// Updates the offered load from the work that arrived since the last call.
    void updateOfferedLoad(Duration elapsed);
    /// Slots held but not in use.
    [[nodiscard]] std::uint32_t spareSlots() const;
    /// Adds `change`, 1 or -1, to the attempt counts that apply to the lane.
    void countAttempt(Lane lane, bool countsAsLong, int change);
};

/// The services known to one entry.
class ServiceTable
{
public:
    /// Applies a configuration. Services that it does not name accept no more requests.
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
