#include "acaciafork/state/Placements.h"

#include <algorithm>

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {
namespace {

constexpr std::uint32_t maxReplicas = 100'000;
constexpr int maxBuildings = 64;

/// What is wrong with a placement; empty when nothing is.
std::string validationError(const wire::Placement &placement)
{
    if (!isName(placement.service()))
        return "a placement needs a service";
    if (placement.replicas() > maxReplicas)
        return "too many replicas";
    if (!isBounded(placement.size()) || placement.size().millicores() == 0
        || placement.size().memory_mb() == 0)
        return "each replica needs cores and memory within bounds";
    if (placement.buildings_size() > maxBuildings
        || !std::all_of(placement.buildings().begin(), placement.buildings().end(), isName))
        return "wrong list of buildings";
    if (placement.family().size() > maxNameBytes)
        return "the family's name is too long";
    return {};
}

} // namespace

ApplyResult Placements::put(const wire::PutPlacement &command)
{
    const wire::Placement &placement = command.placement();
    if (std::string problem = validationError(placement); !problem.empty())
        return makeResult(wire::OUTCOME_INVALID, 0, std::move(problem));
    const wire::Placement *old = find(placement.service());
    const std::uint64_t version = old == nullptr ? 0 : old->version();
    if (version != command.expected_version())
        return versionConflict(command.expected_version(), version);
    if (old == nullptr && m_placements.size() >= m_limits.placements)
        return makeResult(wire::OUTCOME_FULL, 0, "too many placements");

    wire::Placement &stored = m_placements[placement.service()];
    stored = placement;
    stored.set_version(version + 1);
    return makeResult(wire::OUTCOME_APPLIED, version + 1);
}

ApplyResult Placements::remove(const wire::RemovePlacement &command)
{
    const auto it = m_placements.find(command.service());
    if (it == m_placements.end())
        return makeResult(wire::OUTCOME_NOT_FOUND, 0, "no placement of " + command.service());
    if (it->second.version() != command.expected_version())
        return versionConflict(command.expected_version(), it->second.version());
    m_placements.erase(it);
    return makeResult(wire::OUTCOME_APPLIED);
}

const wire::Placement *Placements::find(std::string_view service) const
{
    const auto it = m_placements.find(service);
    return it == m_placements.end() ? nullptr : &it->second;
}

void Placements::save(SnapshotWriter *writer) const
{
    for (const auto &[service, placement] : m_placements)
        *writer->record().mutable_placement() = placement;
}

bool Placements::load(const wire::Placement &record)
{
    return record.version() > 0 && validationError(record).empty()
            && m_placements.try_emplace(record.service(), record).second;
}

} // namespace acaciafork::state
