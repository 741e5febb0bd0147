#include "acaciafork/control/EntryRegistry.h"

#include <algorithm>

namespace acaciafork::control {

EntryRegistry::EntryRegistry(const EntryRegistrySettings &settings)
    : m_settings(settings)
{ }

void EntryRegistry::becameLeader(Timestamp now)
{
    m_entries.clear();
    ++m_revision;
    m_leaderSince = now;
}

bool EntryRegistry::heartbeat(Timestamp now, const EntryRecord &record)
{
    EntryRecord &known = m_entries[record.process];

    // A late heartbeat of an earlier incarnation must not undo what the later one has shown.
    if (record.incarnation < known.incarnation)
        return false;
    const bool isNew = known.incarnation != record.incarnation;
    const ConfigVersion version = isNew ? record.version : std::max(known.version, record.version);
    if (isNew || record.draining != known.draining || record.callersAddress != known.callersAddress)
        ++m_revision;
    known = record;
    known.version = version;
    known.lastReply = now;
    return isNew;
}

std::vector<EntryRecord> EntryRegistry::expire(Timestamp now)
{
    std::vector<EntryRecord> lost;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (now - it->second.lastReply < surelyOver()) {
            ++it;
            continue;
        }
        ++m_revision;
        lost.push_back(std::move(it->second));
        it = m_entries.erase(it);
    }
    return lost;
}

bool EntryRegistry::inForce(Timestamp now, ConfigVersion version) const
{
    const auto confirmed = versionInForce(now);
    return confirmed && *confirmed >= version;
}

std::optional<ConfigVersion> EntryRegistry::versionInForce(Timestamp now) const
{
    // An entry that the last leader confirmed may still be serving unseen by this one.
    if (now - m_leaderSince < surelyOver() || m_entries.empty())
        return std::nullopt;
    const auto oldest =
            std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
                return a.second.version < b.second.version;
            });
    return oldest->second.version;
}

Duration EntryRegistry::surelyOver() const
{
    return m_settings.lease + m_settings.lease / m_settings.clockRateMargin;
}

} // namespace acaciafork::control
