#include "acaciafork/operators/Route.h"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

#include "acaciafork/operators/LiveJson.h"
#include "acaciafork/operators/Replies.h"
#include "acaciafork/operators/StateJson.h"
#include "acaciafork/operators/ZoneSummary.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

constexpr std::int64_t mostListed = 1000;
constexpr std::int64_t usuallyListed = 100;

/// Every record of a table as a list under one key.
template <typename Map>
json::object listAll(std::string_view key, const Map &records)
{
    json::array list;
    for (const auto &[name, record] : records)
        list.push_back(toJson(record));
    return { { key, std::move(list) } };
}

Result<ApiOutcome> status(const Context &context, const Request &)
{
    json::object tasks;
    for (int i = 0; i < wire::TaskState_ARRAYSIZE; ++i) {
        const auto state = static_cast<wire::TaskState>(i);
        tasks[state::taskStateName(state)] = context.machine.tasks().count(state);
    }
    json::object body = toJson(context.live.cluster());
    body["appliedIndex"] = context.machine.appliedIndex();
    body["configVersion"] = context.machine.configuration().version().value;
    body["tasks"] = std::move(tasks);
    body["ledgerRequests"] = context.machine.ledger().size();
    body["processes"] = listOf("", context.live.processes()).at("");
    if (const wire::Move *move = context.machine.moves().inProgress(); move != nullptr)
        body["move"] = { { "id", move->id() }, { "state", state::moveStateName(move->state()) } };
    return jsonReply(body);
}

Result<ApiOutcome> config(const Context &context, const Request &request)
{
    const state::Configuration &configuration = context.machine.configuration();
    BOOST_LEAF_AUTO(version, request.queryNumber("version", 1, INT64_MAX, 0));
    const wire::ConfigRecord *record =
            version == 0 ? &configuration.current() : configuration.find({ version });
    if (record == nullptr)
        return fail(FailureKind::NotFound, "that version is not in the history");
    json::object body = toJson(*record);
    body["processes"] = listOf("", context.live.processes()).at("");
    return jsonReply(body);
}

Result<ApiOutcome> configHistory(const Context &context, const Request &)
{
    json::array versions;
    for (const wire::ConfigRecord &it : context.machine.configuration().history())
        versions.push_back({ { "version", it.version() },
                             { "timeUs", it.time_us() },
                             { "author", it.author() },
                             { "services", it.document().services_size() } });
    return jsonReply(json::object { { "versions", std::move(versions) } });
}

Result<ApiOutcome> racks(const Context &context, const Request &)
{
    return jsonReply(listAll("racks", context.machine.racks().all()));
}

Result<ApiOutcome> placements(const Context &context, const Request &)
{
    return jsonReply(listAll("placements", context.machine.placements().all()));
}

Result<ApiOutcome> teams(const Context &context, const Request &)
{
    json::array list;
    for (const auto &[name, team] : context.machine.teams().all())
        list.push_back(toJson(team, context.machine.tasks().usageOf(name)));
    return jsonReply(json::object { { "teams", std::move(list) } });
}

Result<ApiOutcome> move(const Context &context, const Request &)
{
    json::object body = listAll("moves", context.machine.moves().all());
    if (const auto projection = context.live.moveProjection(); projection)
        body["projection"] = toJson(*projection);
    return jsonReply(body);
}

Result<ApiOutcome> workers(const Context &context, const Request &)
{
    return jsonReply(listOf("workers", context.live.workers()));
}

Result<ApiOutcome> zones(const Context &context, const Request &)
{
    json::array list;
    for (const auto &[name, zone] : summarizeZones(context))
        list.push_back(toJson(name, zone));
    return jsonReply(json::object { { "zones", std::move(list) } });
}

Result<ApiOutcome> endpoints(const Context &context, const Request &)
{
    return jsonReply(listOf("endpoints", context.live.endpoints()));
}

Result<ApiOutcome> members(const Context &context, const Request &)
{
    json::object body = listOf("members", context.live.members());
    body["membersToSpare"] = context.live.cluster().membersToSpare;
    return jsonReply(body);
}

Result<ApiOutcome> processes(const Context &context, const Request &)
{
    return jsonReply(listOf("processes", context.live.processes()));
}

Result<ApiOutcome> timeline(const Context &context, const Request &)
{
    return timelineReply(context.live.timeline());
}

Result<ApiOutcome> counters(const Context &context, const Request &)
{
    return countersReply(context.live.counters());
}

/// One page of jobs, in order of id. A team sees its own only; an operator may name a team.
Result<ApiOutcome> jobs(const Context &context, const Request &request)
{
    BOOST_LEAF_AUTO(limit, request.queryNumber("limit", 1, mostListed, usuallyListed));
    const std::string team = request.team.empty() ? request.queryText("team") : request.team;
    const std::string prefix = team.empty() ? std::string() : team + '/';
    const state::Tasks::Map &tasks = context.machine.tasks().all();
    auto it = tasks.upper_bound(std::max(request.queryText("after"), prefix));
    json::array list;
    for (; it != tasks.end() && it->first.starts_with(prefix) && list.size() < limit; ++it)
        list.push_back(toJson(it->first, it->second));
    const bool hasMore = it != tasks.end() && it->first.starts_with(prefix);
    return jsonReply(json::object { { "jobs", std::move(list) }, { "more", hasMore } });
}

Result<ApiOutcome> replyWithJob(const Context &context, const std::string &id)
{
    const state::Task *task = context.machine.tasks().find(id);
    if (task == nullptr)
        return fail(FailureKind::NotFound, "no job " + id);
    return jsonReply(toJson(id, *task));
}

Result<ApiOutcome> teamJob(const Context &context, const Request &request)
{
    return replyWithJob(context, request.team + '/' + request.captures.front());
}

Result<ApiOutcome> anyJob(const Context &context, const Request &request)
{
    return replyWithJob(context, request.captures.front() + '/' + request.captures.back());
}

constexpr std::array<Route, 17> table { {
        { "GET", "status", Access::Operator, status },
        { "GET", "config", Access::Operator, config },
        { "GET", "config/history", Access::Operator, configHistory },
        { "GET", "racks", Access::Operator, racks },
        { "GET", "placements", Access::Operator, placements },
        { "GET", "teams", Access::Operator, teams },
        { "GET", "move", Access::Operator, move },
        { "GET", "workers", Access::Operator, workers },
        { "GET", "zones", Access::Operator, zones },
        { "GET", "endpoints", Access::Operator, endpoints },
        { "GET", "members", Access::Operator, members },
        { "GET", "processes", Access::Operator, processes },
        { "GET", "timeline", Access::Operator, timeline },
        { "GET", "counters", Access::Operator, counters },
        { "GET", "jobs", Access::TeamOrOperator, jobs },
        { "GET", "jobs/*", Access::TeamOrOperator, teamJob },
        { "GET", "jobs/*/*", Access::Operator, anyJob },
} };

} // namespace

std::span<const Route> readRoutes()
{
    return table;
}

} // namespace acaciafork::operators
