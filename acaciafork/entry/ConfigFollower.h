#pragma once

#include <cstdint>
#include <string>

#include "acaciafork/core/Core.h"

namespace acaciafork::entry {

/// How long an entry may act on a configuration without news from the control leader.
struct ConfigFollowerSettings
{
    /// Length of the readiness lease, counted from when the entry asked.
    Duration lease = std::chrono::seconds(3);
    /// Keep serving under the last configuration when the lease has run out and no control member
    /// answers. Off by default: an entry cut off alone would serve an old version.
    bool serveWithoutControl = false;
};

/// Follows the configuration: versions only grow, and the entry is ready only while a lease holds
/// that the leader confirmed after this process started.
class ConfigFollower
{
public:
    explicit ConfigFollower(const ConfigFollowerSettings &settings);

    /// Next heartbeat's number; remembers when it asked.
    std::uint64_t beginHeartbeat(Timestamp now);

    /// Takes a reply in. An answer to a heartbeat of long ago extends the lease only from when that
    /// one was asked; an older version than the one held is ignored.
    /// @return true when `document` holds a newer version that must be applied now
    bool reply(std::uint64_t sequence, ConfigVersion version, const std::string &document);

    /// Version in force here; none before the first reply.
    [[nodiscard]] ConfigVersion version() const { return m_version; }

    /// The document of that version.
    [[nodiscard]] const std::string &document() const { return m_document; }

    /// True while requests may be accepted under this configuration.
    [[nodiscard]] bool ready(Timestamp now) const;

private:
    /// Heartbeats whose time of asking is remembered; older replies extend nothing.
    static constexpr std::uint64_t rememberedHeartbeats = 64;

    ConfigFollowerSettings m_settings;
    std::uint64_t m_sequence = 0;
    Timestamp m_askedAt[rememberedHeartbeats];
    bool m_confirmed = false;
    Timestamp m_leaseEnd;
    ConfigVersion m_version;
    std::string m_document;
};

} // namespace acaciafork::entry
