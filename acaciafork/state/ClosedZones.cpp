#include "acaciafork/state/ClosedZones.h"

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {

ApplyResult ClosedZones::change(const wire::ChangeZone &command, std::uint64_t index,
                                std::int64_t nowMicroseconds)
{
    const std::string &zone = command.zone();
    if (!isName(zone))
        return makeResult(wire::OUTCOME_INVALID, 0, "a zone needs a name");
    if (m_zones.contains(zone) == command.closed())
        return makeResult(wire::OUTCOME_ALREADY_APPLIED);
    if (!command.closed()) {
        m_zones.erase(zone);
        return makeResult(wire::OUTCOME_APPLIED);
    }
    if (m_zones.size() >= m_limits.closedZones)
        return makeResult(wire::OUTCOME_FULL, 0, "too many closed zones");
    wire::ZoneClosure &closure = m_zones[zone];
    closure.set_zone(zone);
    closure.set_since_us(nowMicroseconds);
    closure.set_index(index);
    return makeResult(wire::OUTCOME_APPLIED);
}

void ClosedZones::save(SnapshotWriter *writer) const
{
    for (const auto &[_, closure] : m_zones)
        *writer->record().mutable_zone_closure() = closure;
}

bool ClosedZones::load(const wire::ZoneClosure &record)
{
    if (!isName(record.zone()) || m_zones.size() >= m_limits.closedZones)
        return false;
    return m_zones.emplace(record.zone(), record).second;
}

} // namespace acaciafork::state
