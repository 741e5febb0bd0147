#include "acaciafork/state/Racks.h"

#include <array>

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {
namespace {

/// Allowed target states (column) for each current state (row): a rack must be drained before it
/// is retired, and can be restored from every other state.
constexpr std::array<std::array<bool, wire::RackState_ARRAYSIZE>, wire::RackState_ARRAYSIZE>
        allowedTargets { {
                // active, draining, drained, retired
                { false, true, false, false },
                { true, false, true, false },
                { true, false, false, true },
                { true, false, false, false },
        } };

constexpr std::array<std::string_view, wire::RackState_ARRAYSIZE> stateNames {
    "active",
    "draining",
    "drained",
    "retired",
};

} // namespace

std::string_view rackStateName(wire::RackState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

ApplyResult Racks::put(const wire::PutRack &command, std::int64_t nowMicroseconds)
{
    if (!isName(command.name()) || !isName(command.building()) || !isName(command.zone()))
        return makeResult(wire::OUTCOME_INVALID, 0, "a rack needs a name, a building and a zone");
    const auto it = m_racks.find(command.name());
    const std::uint64_t version = it == m_racks.end() ? 0 : it->second.version();
    if (version != command.expected_version())
        return versionConflict(command.expected_version(), version);
    if (version == 0 && m_racks.size() >= m_limits.racks)
        return makeResult(wire::OUTCOME_FULL, 0, "too many racks");
    if (version != 0 && it->second.state() != wire::RACK_STATE_ACTIVE)
        return makeResult(wire::OUTCOME_WRONG_STATE, version, "the rack is not active");

    wire::Rack &rack = m_racks[command.name()];
    rack.set_name(command.name());
    rack.set_building(command.building());
    rack.set_zone(command.zone());
    rack.set_version(version + 1);
    rack.set_since_us(nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, version + 1);
}

ApplyResult Racks::change(const wire::ChangeRack &command, std::int64_t nowMicroseconds)
{
    const auto it = m_racks.find(command.name());
    if (it == m_racks.end())
        return makeResult(wire::OUTCOME_NOT_FOUND, 0, "no rack " + command.name());
    if (!wire::RackState_IsValid(command.target()))
        return makeResult(wire::OUTCOME_INVALID, 0, "no such state of a rack");
    wire::Rack &rack = it->second;
    if (rack.version() != command.expected_version()) {
        ApplyResult result = versionConflict(command.expected_version(), rack.version());
        result.set_winner(std::string(rackStateName(rack.state())));
        result.set_winner_time_us(rack.since_us());
        return result;
    }
    if (!allowedTargets.at(rack.state()).at(command.target()))
        return makeResult(wire::OUTCOME_WRONG_STATE, rack.version(),
                          "the rack is " + std::string(rackStateName(rack.state())));

    rack.set_state(command.target());
    rack.set_version(rack.version() + 1);
    rack.set_since_us(nowMicroseconds);
    return makeResult(wire::OUTCOME_APPLIED, rack.version());
}

const wire::Rack *Racks::find(std::string_view name) const
{
    const auto it = m_racks.find(name);
    return it == m_racks.end() ? nullptr : &it->second;
}

void Racks::save(SnapshotWriter *writer) const
{
    for (const auto &[name, rack] : m_racks)
        *writer->record().mutable_rack() = rack;
}

bool Racks::load(const wire::Rack &record)
{
    return isName(record.name()) && record.version() > 0 && wire::RackState_IsValid(record.state())
            && m_racks.try_emplace(record.name(), record).second;
}

} // namespace acaciafork::state
