#include "acaciafork/peers/ProcessSettings.h"

#include <algorithm>
#include <random>

namespace acaciafork::peers {
namespace {

constexpr std::int64_t mostProcessId = 65'535;
/// Drawn numbers lie above those that settings may name, and below those of directory contacts.
constexpr std::uint32_t leastDrawnId = 0x10000U;
constexpr std::uint32_t mostDrawnId = 0x7fffffffU;

/// Cuts `text` at the next '@'; the part before it is returned and `text` keeps the rest.
std::string_view cutAt(std::string_view *text)
{
    const std::size_t at = text->find('@');
    const std::string_view part = text->substr(0, at);
    *text = at == std::string_view::npos ? std::string_view() : text->substr(at + 1);
    return part;
}

bool parsePeer(std::string_view word, bool withZone, PeerAddress *peer)
{
    std::int64_t id = 0;
    if (!parseBoundedNumber(cutAt(&word), 1, mostProcessId, &id))
        return false;
    peer->process.value = static_cast<std::uint32_t>(id);
    if (withZone)
        peer->zone.value = std::string(cutAt(&word));
    peer->address = std::string(word);
    const bool hasZone = !withZone || !peer->zone.value.empty();
    return hasZone && word.find('@') == std::string_view::npos
            && word.find(':') != std::string_view::npos;
}

} // namespace

Result<std::vector<PeerAddress>> parsePeers(const std::vector<std::string> &words, bool withZone,
                                            std::string_view file, std::string_view section,
                                            std::string_view key)
{
    std::vector<PeerAddress> peers;
    SettingsProblems all;
    for (const std::string &it : words) {
        PeerAddress peer;
        const bool isRight = parsePeer(it, withZone, &peer);
        const bool isRepeated =
                std::any_of(peers.begin(), peers.end(), [&peer](const PeerAddress &other) {
                    return other.process == peer.process;
                });
        if (isRight && !isRepeated) {
            peers.push_back(std::move(peer));
            continue;
        }
        all.problems.push_back({ .file = std::string(file),
                                 .section = std::string(section),
                                 .key = std::string(key),
                                 .found = it,
                                 .allowed = withZone ? "id@zone@host:port, each id once"
                                                     : "id@host:port, each id once" });
    }
    if (!all.problems.empty())
        return leaf::new_error(std::move(all));
    return peers;
}

Result<void> checkProcessSettings(const ProcessSettings &settings, std::string_view file)
{
    /// A key whose text is one word out of a set.
    struct Choice
    {
        std::string_view key;
        const std::string &found;
        std::vector<std::string_view> words;
        std::string_view allowed;
    };
    const std::array choices {
        Choice { "format", settings.logFormat, { "text", "json" }, "text or json" },
        Choice { "level",
                 settings.logLevel,
                 { "debug", "info", "warning", "error" },
                 "debug, info, warning or error" },
    };
    SettingsProblems all;
    for (const Choice &it : choices) {
        if (std::find(it.words.begin(), it.words.end(), it.found) == it.words.end())
            all.problems.push_back({ .file = std::string(file),
                                     .section = "log",
                                     .key = std::string(it.key),
                                     .found = it.found,
                                     .allowed = std::string(it.allowed) });
    }
    if (settings.seeds.empty() && (settings.controlMembers.empty() || settings.id == 0))
        all.problems.push_back({ .file = std::string(file),
                                 .section = "control",
                                 .key = "members",
                                 .found = "none",
                                 .allowed = "members and an id, or seeds under [discovery]" });
    if (!all.problems.empty())
        return leaf::new_error(std::move(all));
    return {};
}

Result<std::vector<std::string>> seedPeers(const ProcessSettings &settings)
{
    const std::string port = settings.listenPeers.substr(settings.listenPeers.rfind(':') + 1);
    std::vector<std::string> peers;
    for (const std::string &it : settings.seeds) {
        const std::size_t colon = it.rfind(':');
        if (colon == std::string::npos || colon == 0)
            return fail(FailureKind::InvalidArgument, "seed " + it + " is not host:port");
        peers.push_back(it.substr(0, colon) + ':' + port);
    }
    return peers;
}

ProcessId drawProcessId()
{
    std::random_device device;
    return { std::uniform_int_distribution<std::uint32_t>(leastDrawnId, mostDrawnId)(device) };
}

} // namespace acaciafork::peers
