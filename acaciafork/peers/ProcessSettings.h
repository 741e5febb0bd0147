#pragma once

#include <array>
#include <string>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::peers {

/// One process in a settings list, written `id@host:port`, for control members `id@zone@host:port`.
struct PeerAddress
{
    ProcessId process;
    ZoneName zone;
    /// `host:port` of its peers' interface.
    std::string address;
};

/// Settings that every process has: who it is and how its peers are reached.
struct ProcessSettings
{
    /// 0 draws a number; a control member keeps it in its data folder.
    std::int64_t id = 0;
    std::string cluster;
    std::int64_t cell = 1;
    std::string zone;
    /// `host:port`; port 0 lets the system choose.
    std::string listenPeers;
    std::vector<std::string> peerList;
    std::vector<std::string> controlMembers;
    /// Addresses of some control members; only their hosts count.
    std::vector<std::string> seeds;
    std::string logFormat = "text";
    std::string logLevel = "info";
    std::int64_t timelineEvents = 20'000;
};

/// The table rows of ProcessSettings for a settings struct derived from it.
template <typename S>
constexpr auto processFields()
{
    using Field = SettingField<S>;
    return std::array {
        Field { .section = "process",
                .key = "id",
                .member = &ProcessSettings::id,
                .least = 0,
                .most = 65'535,
                .meaning = "number of this process, unique in the cluster and never used again; 0, "
                           "which needs seeds, draws one" },
        Field { .section = "process",
                .key = "cluster",
                .member = &ProcessSettings::cluster,
                .required = true,
                .meaning = "name of the cluster; processes of another one are not listened to" },
        Field { .section = "process",
                .key = "cell",
                .member = &ProcessSettings::cell,
                .least = 1,
                .most = 65'535,
                .meaning = "cell that this process belongs to" },
        Field { .section = "process",
                .key = "zone",
                .member = &ProcessSettings::zone,
                .required = true,
                .meaning = "availability zone of this process" },
        Field { .section = "process",
                .key = "timeline-events",
                .member = &ProcessSettings::timelineEvents,
                .least = 100,
                .most = 1'000'000,
                .meaning = "events of the time line kept in memory" },
        Field { .section = "listen",
                .key = "peers",
                .member = &ProcessSettings::listenPeers,
                .required = true,
                .meaning = "host:port for messages from the system's other processes" },
        Field { .section = "peers",
                .key = "list",
                .member = &ProcessSettings::peerList,
                .meaning = "the entries, each as id@host:port, with commas between" },
        Field { .section = "control",
                .key = "members",
                .member = &ProcessSettings::controlMembers,
                .meaning = "the control members, each as id@zone@host:port, with commas between; "
                           "empty where seeds are given" },
        Field { .section = "discovery",
                .key = "seeds",
                .member = &ProcessSettings::seeds,
                .meaning = "host:port of some control members, with commas between; their peers' "
                           "port is that of this process" },
        Field { .section = "log",
                .key = "format",
                .member = &ProcessSettings::logFormat,
                .meaning = "text or json" },
        Field { .section = "log",
                .key = "level",
                .member = &ProcessSettings::logLevel,
                .meaning = "least level written: debug, info, warning or error" },
    };
}

/// Parses a list of `id@host:port` or `id@zone@host:port`. Fails with SettingsProblems that name
/// every wrong word.
Result<std::vector<PeerAddress>> parsePeers(const std::vector<std::string> &words, bool withZone,
                                            std::string_view file, std::string_view section,
                                            std::string_view key);

/// Checks what the table can't: words out of a fixed set, and that the control members can be
/// found. Fails with SettingsProblems.
Result<void> checkProcessSettings(const ProcessSettings &settings, std::string_view file);

/// Addresses of the peers' interfaces of the seeds.
Result<std::vector<std::string>> seedPeers(const ProcessSettings &settings);

/// Number for a process whose settings name none; drawn anew at each call.
ProcessId drawProcessId();

} // namespace acaciafork::peers
