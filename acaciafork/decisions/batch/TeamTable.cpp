#include "acaciafork/decisions/batch/TeamTable.h"

#include <array>

namespace acaciafork::batch {

namespace {

/// All amounts of Resources, so that each is handled the same way.
constexpr std::array amounts { &Resources::millicores, &Resources::memoryMb,
                               &Resources::accelerators, &Resources::slots };

/// Returns true when `held` is within `quota`, where zero means no limit.
bool isWithin(const Resources &held, const Resources &quota)
{
    return std::all_of(amounts.begin(), amounts.end(), [&](auto amount) {
        return quota.*amount == 0 || held.*amount <= quota.*amount;
    });
}

} // namespace

Index TeamTable::intern(const TeamName &name)
{
    const Index index = m_names.intern(name);
    if (index == m_teams.size())
        m_teams.push_back({ .record = { .team = name }, .used = {} });
    return index;
}

void TeamTable::put(const TeamRecord &record)
{
    m_teams[intern(record.team)].record = record;
}

double TeamTable::dominantShare(Index team) const
{
    const Team &it = m_teams[team];
    double share = 0;
    for (const auto amount : amounts) {
        if (m_room.*amount > 0)
            share = std::max(share, static_cast<double>(it.used.*amount) / m_room.*amount);
    }
    return share / std::max(it.record.weight, 1U);
}

bool TeamTable::withinQuota(Index team, const Resources &size) const
{
    return isWithin(m_teams[team].used + size, m_teams[team].record.quota);
}

bool TeamTable::withinWholeQuota(Index team, const Resources &size) const
{
    return isWithin(size, m_teams[team].record.quota);
}

} // namespace acaciafork::batch
