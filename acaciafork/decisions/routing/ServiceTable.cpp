#include "acaciafork/decisions/routing/ServiceTable.h"

#include <algorithm>
#include <cmath>

namespace acaciafork::routing {
namespace {

/// Most slots that are kept free of long work, however much short work there is.
constexpr std::uint32_t maxReservedPercent = 75;
/// Times the slots that short work needs on average which are kept for it.
constexpr double shortSlotsMargin = 1.1;
/// Time over which arriving work is averaged, in microseconds.
constexpr double offeredAverageTime = 10e6;

/// Share of `slots`, rounded up.
std::uint32_t percentOf(std::uint32_t slots, std::uint32_t percent)
{
    return (slots * percent + 99) / 100;
}

} // namespace

bool EntryService::laneCanStart(Lane lane) const
{
    if (lane == Lane::Short)
        return true;
    if (longInUse + streamsInUse >= laneSlots(lane))
        return false;

    const std::uint32_t streams = percentOf(heldSlots, settings.streamSlotsPercent);
    return lane != Lane::Stream || streamsInUse < std::max(streams, 1U);
}

std::uint32_t EntryService::laneSlots(Lane lane) const
{
    if (lane == Lane::Short) {
        const std::uint32_t taken = longInUse + streamsInUse;
        return std::max(heldSlots > taken ? heldSlots - taken : 0, 1U);
    }
    // Long work leaves the reserved slots alone, but an entry with one slot still serves it.
    const std::uint32_t reserved = reservedSlots();
    return std::max(heldSlots > reserved ? heldSlots - reserved : 0, 1U);
}

std::uint32_t EntryService::reservedSlots() const
{
    const std::uint32_t least = percentOf(heldSlots, settings.shortSlotsPercent);
    const std::uint32_t most = percentOf(heldSlots, maxReservedPercent);
    // In overload short work gets its part of what is offered, otherwise a little more than that.
    const double offered = std::max(offeredShort + offeredOther, 1.0);
    const double factor = std::min(shortSlotsMargin, heldSlots / offered);
    const auto learned = static_cast<std::uint32_t>(std::lround(offeredShort * factor));
    return std::clamp(learned, least, std::max(least, most));
}

void EntryService::recordArrival(Lane lane, Duration expected)
{
    (lane == Lane::Short ? arrivedShort : arrivedOther) += expected;
}

void EntryService::updateOfferedLoad(Duration elapsed)
{
    const auto time = static_cast<double>(elapsed.count());
    if (time <= 0)
        return;
    const double weight = std::min(time / offeredAverageTime, 1.0);
    offeredShort += (static_cast<double>(arrivedShort.count()) / time - offeredShort) * weight;
    offeredOther += (static_cast<double>(arrivedOther.count()) / time - offeredOther) * weight;
    arrivedShort = Duration::zero();
    arrivedOther = Duration::zero();
}

Duration EntryService::expectedWait(Lane lane) const
{
    return queue.work(lane) / laneSlots(lane);
}

std::uint32_t EntryService::spareSlots() const
{
    return heldSlots > inUse ? heldSlots - inUse : 0;
}

void EntryService::countAttempt(Lane lane, bool countsAsLong, int change)
{
    const auto delta = static_cast<std::uint32_t>(change);
    inUse += delta;
    if (lane == Lane::Stream)
        streamsInUse += delta;
    else if (countsAsLong)
        longInUse += delta;
}

void ServiceTable::configure(std::span<const ServiceSettings> services)
{
    for (EntryService &it : m_services)
        it.configured = false;

    for (const ServiceSettings &settings : services) {
        TableIndex index = find(settings.service);
        if (index == noIndex) {
            index = size();
            m_services.emplace_back();
            m_byName.emplace(settings.service, index);
        }
        m_services[index].settings = settings;
        m_services[index].configured = true;
    }
}

TableIndex ServiceTable::find(const ServiceName &name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? noIndex : it->second;
}

} // namespace acaciafork::routing
