#pragma once

#include <string_view>

#include "acaciafork/peers/Peers.h"

namespace acaciafork::entry {

/// Settings of an entry, from its INI file.
struct EntrySettings : peers::ProcessSettings
{
    /// `host:port` of the callers' interface.
    std::string listenCallers;
    /// `host:port` of the operators' interface: time line and counters.
    std::string listenOperators;
    /// File with the operators' bearer token.
    std::string tokenFile;
    /// Bounds of callers' requests.
    std::int64_t mostHeadBytes = 32L * 1024;
    std::int64_t mostBodyBytes = 16L * 1024 * 1024;
    std::int64_t mostBufferedBytes = 64L * 1024 * 1024;
    std::int64_t mostConnections = 10'000;
    Duration requestTimeout = std::chrono::seconds(10);
    /// Readiness lease, the same as the control members'.
    Duration configLease = std::chrono::seconds(3);
    bool serveWithoutControl = false;
    /// Longest time that a draining entry waits for what is in progress; 0 waits for ever.
    Duration drainTimeout {};

    /// The lists of the base struct, parsed.
    std::vector<peers::PeerAddress> entries;
    std::vector<peers::PeerAddress> members;
};

/// The table of keys.
std::span<const SettingField<EntrySettings>> entryFields();

/// Reads and checks an entry's settings. Fails with SettingsProblems.
Result<EntrySettings> readEntrySettings(std::string_view ini, std::string_view file);

} // namespace acaciafork::entry
