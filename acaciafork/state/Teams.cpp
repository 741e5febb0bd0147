#include "acaciafork/state/Teams.h"

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {
namespace {

constexpr std::size_t tokenDigestBytes = 32;
constexpr std::uint32_t maxWeight = 1000;

/// What is wrong with a team; empty when nothing is.
std::string validationError(const wire::Team &team)
{
    if (!isName(team.name()) || team.name().front() == '@')
        return "a team needs a name that does not begin with @";
    if (team.token_digest().size() != tokenDigestBytes)
        return "a team needs the SHA-256 digest of its token";
    if (!isBounded(team.quota()))
        return "the quota is out of bounds";
    if (team.weight() == 0 || team.weight() > maxWeight)
        return "the weight must be from 1 to " + std::to_string(maxWeight);
    return {};
}

} // namespace

ApplyResult Teams::put(const wire::PutTeam &command)
{
    const wire::Team &team = command.team();
    if (std::string problem = validationError(team); !problem.empty())
        return makeResult(wire::OUTCOME_INVALID, 0, std::move(problem));
    const wire::Team *old = find(team.name());
    const std::uint64_t version = old == nullptr ? 0 : old->version();
    if (version != command.expected_version())
        return versionConflict(command.expected_version(), version);
    if (old == nullptr && m_teams.size() >= m_limits.teams)
        return makeResult(wire::OUTCOME_FULL, 0, "too many teams");

    wire::Team &stored = m_teams[team.name()];
    stored = team;
    stored.set_version(version + 1);
    return makeResult(wire::OUTCOME_APPLIED, version + 1);
}

const wire::Team *Teams::find(std::string_view name) const
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? nullptr : &it->second;
}

void Teams::save(SnapshotWriter *writer) const
{
    for (const auto &[name, team] : m_teams)
        *writer->record().mutable_team() = team;
}

bool Teams::load(const wire::Team &record)
{
    return record.version() > 0 && validationError(record).empty()
            && m_teams.try_emplace(record.name(), record).second;
}

} // namespace acaciafork::state
