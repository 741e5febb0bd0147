#include "acaciafork/operators/client/CtlCommand.h"

#include <algorithm>
#include <array>
#include <optional>

#include <boost/json.hpp>

#include "acaciafork/operators/JsonFields.h"
#include "acaciafork/operators/Route.h"
#include "acaciafork/operators/Tokens.h"
#include "acaciafork/operators/client/TextView.h"
#include "acaciafork/operators/client/TimelineMerge.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

void addNothing(const CtlArguments &, json::object *) { }

void addRack(const CtlArguments &arguments, json::object *body)
{
    (*body)["building"] = arguments.building;
    (*body)["zone"] = arguments.zone;
}

void addTeam(const CtlArguments &arguments, json::object *body)
{
    if (!arguments.teamToken.empty())
        (*body)["tokenDigest"] = hexFromDigest(tokenDigest(arguments.teamToken));
}

void addMove(const CtlArguments &arguments, json::object *body)
{
    (*body)["id"] = arguments.words.back();
    (*body)["from"] = arguments.fromBuilding;
    (*body)["to"] = arguments.toBuilding;
    (*body)["deadlineUs"] = arguments.deadlineMicroseconds;
}

template <bool isNew, bool isOld>
void addMember(const CtlArguments &arguments, json::object *body)
{
    (*body)["action"] = isNew && isOld ? "replace" : isNew ? "add" : "remove";
    if (isNew) {
        (*body)["member"] = arguments.member;
        (*body)["address"] = arguments.memberAddress;
        (*body)["zone"] = arguments.zone;
    }
    if (isOld)
        (*body)["replaced"] = arguments.replaced;
}

constexpr VersionSource noVersion {};
constexpr VersionSource requestOnly { .takesRequestOnly = true };
constexpr VersionSource configVersion { .path = "config" };
constexpr VersionSource rackVersion { .path = "racks", .list = "racks", .nameKey = "name" };
constexpr VersionSource placementVersion { .path = "placements",
                                           .list = "placements",
                                           .nameKey = "service" };
constexpr VersionSource teamVersion { .path = "teams", .list = "teams", .nameKey = "name" };
constexpr VersionSource moveVersion { .path = "move", .list = "moves", .nameKey = "id" };

constexpr std::array<CtlCommand, 36> table { {
        { "status", "", "GET", "status", noVersion, nullptr, "the group, its leader and counts" },
        { "endpoints", "", "GET", "endpoints", noVersion, nullptr, "endpoints known" },
        { "workers", "", "GET", "workers", noVersion, nullptr, "workers known" },
        { "processes", "", "GET", "processes", noVersion, nullptr, "entries and control members" },
        { "counters", "", "GET", "counters", noVersion, nullptr, "counters of one process" },
        { "jobs", "", "GET", "jobs", noVersion, nullptr, "jobs, page by page (--query after=ID)" },
        { "jobs list", "", "GET", "jobs", noVersion, nullptr, "the same" },
        { "jobs show", "TEAM JOB", "GET", "jobs/*/*", noVersion, nullptr, "one job" },
        { "jobs submit", "", "POST", "jobs", noVersion, addNothing, "queue the job of --file" },
        { "jobs cancel", "TEAM JOB", "DELETE", "jobs/*/*", noVersion, nullptr, "cancel a job" },
        { "placements", "", "GET", "placements", noVersion, nullptr, "placements of services" },
        { "placements list", "", "GET", "placements", noVersion, nullptr, "the same" },
        { "placements put", "SERVICE", "PUT", "placements/*", placementVersion, addNothing,
          "set the placement of --file" },
        { "placements remove", "SERVICE", "DELETE", "placements/*", placementVersion, nullptr,
          "remove a placement" },
        { "teams list", "", "GET", "teams", noVersion, nullptr, "teams, quotas and use" },
        { "teams put", "TEAM", "PUT", "teams/*", teamVersion, addTeam,
          "set the team of --file, with the token of --team-token-file" },
        { "racks list", "", "GET", "racks", noVersion, nullptr, "racks and their states" },
        { "racks put", "RACK", "PUT", "racks/*", rackVersion, addRack,
          "make a rack known (--building, --zone)" },
        { "racks drain", "RACK", "POST", "racks/*/drain", rackVersion, addNothing,
          "move everything off a rack" },
        { "racks retire", "RACK", "POST", "racks/*/retire", rackVersion, addNothing,
          "take a drained rack out of use" },
        { "racks restore", "RACK", "POST", "racks/*/restore", rackVersion, addNothing,
          "bring a rack back into use" },
        { "zones", "", "GET", "zones", noVersion, nullptr,
          "availability zones, and which are closed to new starts" },
        { "zones close", "ZONE", "POST", "zones/*/close", requestOnly, addNothing,
          "start nothing more in a zone; what runs there goes on" },
        { "zones open", "ZONE", "POST", "zones/*/open", requestOnly, addNothing,
          "let tasks start in a zone again" },
        { "move plan", "ID", "POST", "move", moveVersion, addMove,
          "plan a move (--from, --to, --deadline)" },
        { "move start", "ID", "POST", "move/*/start", moveVersion, addNothing, "start a plan" },
        { "move pause", "ID", "POST", "move/*/pause", moveVersion, addNothing, "hold it" },
        { "move resume", "ID", "POST", "move/*/resume", moveVersion, addNothing, "go on" },
        { "move rollback", "ID", "POST", "move/*/rollback", moveVersion, addNothing, "go back" },
        { "move status", "", "GET", "move", noVersion, nullptr, "plans and projected finish" },
        { "config show", "", "GET", "config", noVersion, nullptr,
          "the configuration, and the version that each process runs" },
        { "config propose", "", "POST", "config", configVersion, addNothing,
          "replace the configuration by --file" },
        { "config history", "", "GET", "config/history", noVersion, nullptr, "versions kept" },
        { "members list", "", "GET", "members", noVersion, nullptr,
          "members of the control group" },
        { "members add", "", "POST", "members", noVersion, addMember<true, false>,
          "add a member (--member, --member-address, --zone)" },
        { "members replace", "", "POST", "members", noVersion, addMember<true, true>,
          "replace a lost member (as add, and --replaced)" },
} };

/// The command that the words begin with, the longest name first.
/// @param[out] operands words behind the name
const CtlCommand *findCommand(const std::vector<std::string> &words,
                              std::vector<std::string> *operands)
{
    const CtlCommand *best = nullptr;
    for (const CtlCommand &it : table) {
        const std::vector<std::string> name = [&it] {
            std::vector<std::string> parts;
            for (std::string_view rest = it.name; !rest.empty();) {
                const std::size_t blank = rest.find(' ');
                parts.emplace_back(rest.substr(0, blank));
                rest = blank == std::string_view::npos ? std::string_view()
                                                       : rest.substr(blank + 1);
            }
            return parts;
        }();
        if (name.size() > words.size() || !std::equal(name.begin(), name.end(), words.begin()))
            continue;
        if (best == nullptr || it.name.size() > best->name.size()) {
            best = &it;
            operands->assign(words.begin() + static_cast<std::ptrdiff_t>(name.size()), words.end());
        }
    }
    return best;
}

/// Path with the operands in place of its stars. `move plan` names its id in the body instead.
Result<std::string> pathOf(const CtlCommand &command, const std::vector<std::string> &operands)
{
    const auto wanted = static_cast<std::size_t>(
                                std::count(command.operands.begin(), command.operands.end(), ' '))
            + (command.operands.empty() ? 0 : 1);
    const bool isUsable = std::all_of(operands.begin(), operands.end(), [](const std::string &it) {
        return state::isName(it) && it.find_first_of("?%#") == std::string::npos;
    });
    if (operands.size() != wanted || !isUsable)
        return fail(FailureKind::InvalidArgument,
                    "usage: acaciaforkctl " + std::string(command.name) + ' '
                            + std::string(command.operands));
    std::string path;
    std::size_t next = 0;
    for (const char it : command.path) {
        if (it == '*')
            path += operands[next++];
        else
            path += it;
    }
    return path;
}

/// Version in force of what a command changes; 0 when there is none yet.
Result<std::uint64_t> versionInForce(const VersionSource &source, const std::string &name,
                                     ControlClient *client)
{
    BOOST_LEAF_AUTO(answer, client->call("GET", std::string(source.path)));
    if (source.list.empty())
        return answer.at("version").to_number<std::uint64_t>();
    for (const json::value &it : answer.at(source.list).as_array()) {
        if (it.at(source.nameKey).as_string() == name)
            return it.at("version").to_number<std::uint64_t>();
    }
    return std::uint64_t(0);
}

/// The merged time line of every process that answers.
Result<std::string> runTimeline(const CtlArguments &arguments, ControlClient *client)
{
    BOOST_LEAF_AUTO(known, client->call("GET", "processes"));
    std::vector<json::value> answers;
    std::string notes;
    for (const json::value &it : known.at("processes").as_array()) {
        const auto address = json::value_to<std::string>(it.at("operators"));
        if (address.empty())
            continue;
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(answer, client->callAt(address, "GET", "timeline"));
                    answers.push_back(std::move(answer));
                    return {};
                },
                [&](const Failure &failure) { notes += "# " + failure.detail + '\n'; },
                [&](const Refusal &refusal) {
                    notes += "# " + address + ": " + refusal.failure.detail + '\n';
                },
                [&] { notes += "# " + address + ": unknown failure\n"; });
    }
    const std::vector<MergedEvent> events = mergeTimelines(answers);
    return arguments.chrome ? chromeTrace(events) + '\n' : notes + timelineText(events);
}

/// Body of a command that changes something: the document, then the command's own fields, then
/// request id and version.
Result<std::string> bodyOf(const CtlCommand &command, const CtlArguments &arguments,
                           const std::string &requestId, std::uint64_t expectedVersion)
{
    json::object body;
    if (!arguments.document.empty()) {
        BOOST_LEAF_AUTO(document, parseObject(arguments.document));
        body = std::move(document);
    }
    command.addBody(arguments, &body);
    if (command.version.takesRequest())
        body["requestId"] = requestId;
    if (!command.version.path.empty())
        body["expectedVersion"] = expectedVersion;
    return json::serialize(body);
}

/// Makes a call; nothing when it failed.
/// @param[out] refusal why it failed
std::optional<json::value> callOrKeep(const std::string &method, const std::string &path,
                                      const std::string &body, ControlClient *client,
                                      Refusal *refusal)
{
    std::optional<json::value> answer;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(value, client->call(method, path, body));
                answer = std::move(value);
                return {};
            },
            [&](const Refusal &it) { *refusal = it; },
            [&](const Failure &it) { refusal->failure = it; }, [] {});
    return answer;
}

} // namespace

std::span<const CtlCommand> ctlCommands()
{
    return table;
}

Result<std::string> runCtl(const CtlArguments &arguments, ControlClient *client,
                           const std::function<std::string()> &newRequestId)
{
    if (arguments.words == std::vector<std::string> { "timeline" })
        return runTimeline(arguments, client);
    std::vector<std::string> operands;
    const CtlCommand *command = findCommand(arguments.words, &operands);
    if (command == nullptr)
        return fail(FailureKind::InvalidArgument, "no such command; see --help");
    BOOST_LEAF_AUTO(path, pathOf(*command, operands));

    // One request id and one expected version for all repeats of this call.
    const std::string requestId =
            arguments.requestId.empty() ? newRequestId() : arguments.requestId;
    std::uint64_t version = arguments.expectedVersion.value_or(0);
    if (!command->version.path.empty() && !arguments.expectedVersion) {
        const std::string name = operands.empty() ? std::string() : operands.front();
        BOOST_LEAF_AUTO(inForce, versionInForce(command->version, name, client));
        version = inForce;
    }
    std::string body;
    std::vector<std::string> query = arguments.query;
    if (command->addBody != nullptr) {
        BOOST_LEAF_AUTO(text, bodyOf(*command, arguments, requestId, version));
        body = std::move(text);
    } else if (!command->version.path.empty()) {
        query.push_back("requestId=" + requestId);
        query.push_back("expectedVersion=" + std::to_string(version));
    }
    for (std::size_t i = 0; i < query.size(); ++i)
        path += (i == 0 ? '?' : '&') + query[i];

    Refusal refusal;
    const auto answer = callOrKeep(std::string(command->method), path, body, client, &refusal);
    if (!answer) {
        if (refusal.failure.kind == FailureKind::Timeout && command->version.takesRequest()) {
            refusal.failure.detail += "; to be sure, run it again with --request-id " + requestId;
            if (!command->version.path.empty())
                refusal.failure.detail += " --expected-version " + std::to_string(version);
        }
        return leaf::new_error(std::move(refusal));
    }
    if (arguments.json)
        return json::serialize(*answer) + '\n';
    const bool isCounters = command->path == "counters";
    return textView(isCounters ? answer->at("counters") : *answer);
}

} // namespace acaciafork::operators
