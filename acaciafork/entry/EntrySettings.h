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
    /// Calls that need the control leader: how long they wait for its answer, and for a leader to
    /// be known before they are refused; zero for the latter asks members that may not lead.
    Duration callTimeout = std::chrono::seconds(5);
    Duration unsentTimeout {};
    /// How long a draining entry keeps callers' idle connections and serves what comes on them;
    /// longer than a balancer takes to notice and a caller's requests are apart.
    Duration drainLinger = std::chrono::seconds(3);
    /// Longest time that a draining entry waits for what is in progress; 0 waits for ever.
    Duration drainTimeout {};

    /// Interface that clients and workers see: the product's own, or that of the users' platform.
    std::string binding = "own";
    /// `host:port` of the binding's interfaces, where it is not the product's own.
    std::string bindingClients;
    std::string bindingReady;
    std::string bindingMetrics;

    /// The lists of the base struct, parsed.
    std::vector<peers::PeerAddress> entries;
    std::vector<peers::PeerAddress> members;
};

/// The table of keys.
std::span<const SettingField<EntrySettings>> entryFields();

/// Reads and checks an entry's settings. Fails with SettingsProblems.
Result<EntrySettings> readEntrySettings(std::string_view ini, std::string_view file);

} // namespace acaciafork::entry
