#include "acaciafork/entry/EntrySettings.h"

namespace acaciafork::entry {
namespace {

using Field = SettingField<EntrySettings>;

constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;

const std::array ownFields {
    Field { .section = "listen",
            .key = "callers",
            .member = &EntrySettings::listenCallers,
            .required = true,
            .meaning = "host:port for callers, endpoints and workers" },
    Field { .section = "listen",
            .key = "operators",
            .member = &EntrySettings::listenOperators,
            .required = true,
            .meaning = "host:port for operators: time line and counters" },
    Field { .section = "operators",
            .key = "token-file",
            .member = &EntrySettings::tokenFile,
            .meaning = "file that holds the operators' bearer token; empty refuses them all" },
    Field { .section = "binding",
            .key = "kind",
            .member = &EntrySettings::binding,
            .meaning = "interface that clients see: own or platform" },
    Field { .section = "binding",
            .key = "clients",
            .member = &EntrySettings::bindingClients,
            .meaning = "host:port for clients of the platform" },
    Field { .section = "binding",
            .key = "ready",
            .member = &EntrySettings::bindingReady,
            .meaning = "host:port for the platform's readiness check" },
    Field { .section = "binding",
            .key = "metrics",
            .member = &EntrySettings::bindingMetrics,
            .meaning = "host:port for metrics of the platform; empty for none" },
    Field { .section = "calls",
            .key = "timeout-ms",
            .member = &EntrySettings::callTimeout,
            .least = 100,
            .most = 60'000,
            .meaning = "how long a call waits for the control leader's answer" },
    Field { .section = "calls",
            .key = "unsent-timeout-ms",
            .member = &EntrySettings::unsentTimeout,
            .least = 0,
            .most = 60'000,
            .meaning = "how long a call waits for a control leader to be known before it is "
                       "refused; 0 sends it to members that may not lead" },
    Field { .section = "limits",
            .key = "head-bytes",
            .member = &EntrySettings::mostHeadBytes,
            .least = kibibyte,
            .most = mebibyte,
            .meaning = "most bytes of a request's line and headers" },
    Field { .section = "limits",
            .key = "body-bytes",
            .member = &EntrySettings::mostBodyBytes,
            .least = 0,
            .most = 1024L * mebibyte,
            .meaning = "most bytes of one request body" },
    Field { .section = "limits",
            .key = "buffered-bytes",
            .member = &EntrySettings::mostBufferedBytes,
            .least = mebibyte,
            .most = 16L * 1024 * mebibyte,
            .meaning = "most bytes of all request bodies held at one time" },
    Field { .section = "limits",
            .key = "connections",
            .member = &EntrySettings::mostConnections,
            .least = 16,
            .most = 1'000'000,
            .meaning = "most callers' connections at one time" },
    Field { .section = "limits",
            .key = "request-timeout-ms",
            .member = &EntrySettings::requestTimeout,
            .least = 100,
            .most = 3'600'000,
            .meaning = "longest time for a request to come whole" },
    Field { .section = "limits",
            .key = "drain-linger-ms",
            .member = &EntrySettings::drainLinger,
            .most = 600'000,
            .meaning = "how long callers' idle connections are kept and served at shutdown" },
    Field { .section = "limits",
            .key = "drain-timeout-ms",
            .member = &EntrySettings::drainTimeout,
            .most = 86'400'000,
            .meaning = "longest wait for requests in progress at shutdown; 0 has no end" },
    Field { .section = "config",
            .key = "lease-ms",
            .member = &EntrySettings::configLease,
            .least = 500,
            .most = 10'000,
            .meaning = "how long the entry serves without news of the configuration" },
    Field { .section = "config",
            .key = "serve-without-control",
            .member = &EntrySettings::serveWithoutControl,
            .meaning = "keep serving under the last configuration when no control member answers" },
};

/// The rows of every process and the entry's own.
std::vector<Field> makeFields()
{
    static constexpr auto common = peers::processFields<EntrySettings>();
    std::vector<Field> fields(common.begin(), common.end());
    fields.insert(fields.end(), ownFields.begin(), ownFields.end());
    return fields;
}

} // namespace

std::span<const Field> entryFields()
{
    static const std::vector<Field> fields = makeFields();
    return fields;
}

Result<EntrySettings> readEntrySettings(std::string_view ini, std::string_view file)
{
    EntrySettings settings;
    BOOST_LEAF_AUTO(sections, parseIni(ini, file));
    BOOST_LEAF_CHECK(readSettings<EntrySettings>(sections, file, entryFields(), &settings));
    BOOST_LEAF_CHECK(peers::checkProcessSettings(settings, file));
    BOOST_LEAF_ASSIGN(settings.entries,
                      peers::parsePeers(settings.peerList, false, file, "peers", "list"));
    BOOST_LEAF_ASSIGN(settings.members,
                      peers::parsePeers(settings.controlMembers, true, file, "control", "members"));
    return settings;
}

} // namespace acaciafork::entry
