#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::control {

/// Times by which the leader counts an entry as alive.
struct EntryRegistrySettings
{
    /// The entries' readiness lease, as in their own settings.
    Duration lease = std::chrono::seconds(3);
    /// The entry's clock may run slower by one part in this many.
    std::int64_t clockRateMargin = 100;
};

/// What the leader knows of one entry.
struct EntryRecord
{
    ProcessId process;
    Incarnation incarnation;
    std::string zone;
    std::string callersAddress;
    std::string operatorsAddress;
    ConfigVersion version;
    bool draining = false;
    /// When the leader last confirmed a heartbeat; the entry's lease ends no later than this plus
    /// lease and margin.
    Timestamp lastReply;
};

/// The live entries, as the control leader sees them. Soft state: a new leader starts empty and
/// counts unknown entries as holding a lease until one lease has passed.
class EntryRegistry
{
public:
    explicit EntryRegistry(const EntryRegistrySettings &settings);

    /// This process has become the leader and knows no entry yet.
    void becameLeader(Timestamp now);

    /// Takes a heartbeat in.
    /// @return true when the entry is new or has restarted
    bool heartbeat(Timestamp now, const EntryRecord &record);

    /// Forgets the entries whose lease has surely run out, and returns them.
    std::vector<EntryRecord> expire(Timestamp now);

    /// True when every entry that may be serving runs `version` or a later one.
    [[nodiscard]] bool inForce(Timestamp now, ConfigVersion version) const;

    /// Highest version that is in force everywhere, or nothing while that can't be known.
    [[nodiscard]] std::optional<ConfigVersion> versionInForce(Timestamp now) const;

    /// Changes whenever the list of entries, an address or a draining mark does.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

    /// The live entries by process id.
    [[nodiscard]] const std::map<ProcessId, EntryRecord> &entries() const { return m_entries; }

private:
    /// Longest time an entry may act on a lease that the leader confirmed at the start of it.
    [[nodiscard]] Duration surelyOver() const;

    EntryRegistrySettings m_settings;
    Timestamp m_leaderSince;
    std::uint64_t m_revision = 0;
    std::map<ProcessId, EntryRecord> m_entries;
};

} // namespace acaciafork::control
