#include "acaciafork/operators/Route.h"

#include <array>

#include <boost/json.hpp>

#include "acaciafork/operators/StateJson.h"
#include "acaciafork/operators/ZoneSummary.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

/// New proposal for this cell.
ApiProposal newProposal(const Context &context)
{
    ApiProposal proposal;
    proposal.command.set_cell(context.machine.cell().value);
    return proposal;
}

/// Reads the body of a change into a new proposal.
/// @param[in] fill `(JsonFields *, wire::Command *)`, reads the fields of this change
template <typename Fill>
Result<ApiOutcome> propose(const Context &context, const Request &request, Fill fill)
{
    BOOST_LEAF_AUTO(body, parseObject(request.body));
    JsonFields fields(body);
    ApiProposal proposal = newProposal(context);
    fill(&fields, &proposal.command);
    if (auto read = fields.finish(); !read)
        return read.error();
    return ApiOutcome(std::move(proposal));
}

/// Reads what every operators' change carries, the request id and the version that it replaces (0
/// for something new), and then the fields of this change.
/// @param[in] fill `(JsonFields *, wire::Command *)`, gives the message that takes the version
template <typename Fill>
Result<ApiOutcome> proposeVersion(const Context &context, const Request &request, Fill fill)
{
    return propose(context, request, [fill](JsonFields *fields, wire::Command *command) {
        command->set_request_id(fields->text("requestId"));
        const std::uint64_t expected = fields->requiredNumber("expectedVersion", UINT64_MAX);
        fill(fields, command)->set_expected_version(expected);
    });
}

Result<ApiOutcome> proposeConfig(const Context &context, const Request &request)
{
    return proposeVersion(context, request, [](JsonFields *fields, wire::Command *command) {
        wire::ProposeConfig *change = command->mutable_propose_config();
        change->set_author(fields->text("author"));
        fromJson(fields, change->mutable_document());
        return change;
    });
}

Result<ApiOutcome> putRack(const Context &context, const Request &request)
{
    return proposeVersion(context, request, [&](JsonFields *fields, wire::Command *command) {
        wire::PutRack *change = command->mutable_put_rack();
        change->set_name(request.captures.front());
        change->set_building(fields->text("building"));
        change->set_zone(fields->text("zone"));
        return change;
    });
}

template <wire::RackState target>
Result<ApiOutcome> changeRack(const Context &context, const Request &request)
{
    return proposeVersion(context, request, [&](JsonFields *, wire::Command *command) {
        wire::ChangeRack *change = command->mutable_change_rack();
        change->set_name(request.captures.front());
        change->set_target(target);
        return change;
    });
}

Result<ApiOutcome> putPlacement(const Context &context, const Request &request)
{
    return proposeVersion(context, request, [&](JsonFields *fields, wire::Command *command) {
        wire::PutPlacement *change = command->mutable_put_placement();
        change->mutable_placement()->set_service(request.captures.front());
        fromJson(fields, change->mutable_placement());
        return change;
    });
}

Result<ApiOutcome> removePlacement(const Context &context, const Request &request)
{
    BOOST_LEAF_AUTO(expected, request.queryNumber("expectedVersion", 1, INT64_MAX, 0));
    if (expected == 0 || request.queryText("requestId").empty())
        return fail(FailureKind::InvalidArgument, "the query needs requestId and expectedVersion");
    ApiProposal proposal = newProposal(context);
    proposal.command.set_request_id(request.queryText("requestId"));
    wire::RemovePlacement *change = proposal.command.mutable_remove_placement();
    change->set_service(request.captures.front());
    change->set_expected_version(expected);
    return ApiOutcome(std::move(proposal));
}

Result<ApiOutcome> putTeam(const Context &context, const Request &request)
{
    return proposeVersion(context, request, [&](JsonFields *fields, wire::Command *command) {
        wire::PutTeam *change = command->mutable_put_team();
        change->mutable_team()->set_name(request.captures.front());
        fromJson(fields, change->mutable_team());
        return change;
    });
}

Result<ApiOutcome> planMove(const Context &context, const Request &request)
{
    return proposeVersion(context, request, [](JsonFields *fields, wire::Command *command) {
        wire::PlanMove *change = command->mutable_plan_move();
        fromJson(fields, change->mutable_move());
        return change;
    });
}

template <wire::MoveState target>
Result<ApiOutcome> changeMove(const Context &context, const Request &request)
{
    return proposeVersion(context, request, [&](JsonFields *, wire::Command *command) {
        wire::ChangeMove *change = command->mutable_change_move();
        change->set_id(request.captures.front());
        change->set_target(target);
        return change;
    });
}

/// Closes a zone to new starts or opens it. There is no version to replace: the last order holds.
template <bool closed>
Result<ApiOutcome> changeZone(const Context &context, const Request &request)
{
    const std::string &zone = request.captures.front();
    if (!summarizeZones(context).contains(zone))
        return fail(FailureKind::NotFound, "no zone " + zone);
    return propose(context, request, [&](JsonFields *fields, wire::Command *command) {
        command->set_request_id(fields->text("requestId"));
        command->mutable_change_zone()->set_zone(zone);
        command->mutable_change_zone()->set_closed(closed);
    });
}

/// Reads the new member of an addition or replacement.
void readNewMember(JsonFields *fields, MemberChange *change)
{
    change->member = { static_cast<std::uint32_t>(fields->requiredNumber("member", UINT32_MAX)) };
    change->address = fields->text("address");
    change->zone = { fields->text("zone") };
}

/// Reads the member that goes.
void readOldMember(JsonFields *fields, MemberChange *change)
{
    change->replaced = { static_cast<std::uint32_t>(
            fields->requiredNumber("replaced", UINT32_MAX)) };
}

Result<ApiOutcome> changeMembers(const Context &, const Request &request)
{
    BOOST_LEAF_AUTO(body, parseObject(request.body));
    JsonFields fields(body);
    MemberChange change;
    const std::string action = fields.text("action");
    if (action == "add") {
        change.action = MemberAction::Add;
        readNewMember(&fields, &change);
    } else if (action == "remove") {
        change.action = MemberAction::Remove;
        readOldMember(&fields, &change);
    } else if (action == "replace") {
        change.action = MemberAction::Replace;
        readNewMember(&fields, &change);
        readOldMember(&fields, &change);
    } else {
        fields.refuse("action", "must be add, remove or replace");
    }
    if (auto read = fields.finish(); !read)
        return read.error();
    return ApiOutcome(std::move(change));
}

/// A job of the caller's team; an operator names the team in the body.
Result<ApiOutcome> submitJob(const Context &context, const Request &request)
{
    return propose(context, request, [&](JsonFields *fields, wire::Command *command) {
        const std::string id = fields->text("id");
        if (!state::isName(id))
            fields->refuse("id", "must be visible ASCII without slashes");
        const std::string team = request.team.empty() ? fields->text("team") : request.team;
        wire::SubmitTask *change = command->mutable_submit_task();
        change->set_team(team);
        change->set_task(team + '/' + id);
        fromJson(fields, change);
    });
}

Result<ApiOutcome> cancelTask(const Context &context, std::string id)
{
    ApiProposal proposal = newProposal(context);
    proposal.command.mutable_cancel_task()->set_task(std::move(id));
    return ApiOutcome(std::move(proposal));
}

Result<ApiOutcome> cancelTeamJob(const Context &context, const Request &request)
{
    return cancelTask(context, request.team + '/' + request.captures.front());
}

Result<ApiOutcome> cancelAnyJob(const Context &context, const Request &request)
{
    return cancelTask(context, request.captures.front() + '/' + request.captures.back());
}

constexpr std::array<Route, 19> table { {
        { "POST", "config", Access::Operator, proposeConfig },
        { "PUT", "racks/*", Access::Operator, putRack },
        { "POST", "racks/*/drain", Access::Operator, changeRack<wire::RACK_STATE_DRAINING> },
        { "POST", "racks/*/retire", Access::Operator, changeRack<wire::RACK_STATE_RETIRED> },
        { "POST", "racks/*/restore", Access::Operator, changeRack<wire::RACK_STATE_ACTIVE> },
        { "PUT", "placements/*", Access::Operator, putPlacement },
        { "DELETE", "placements/*", Access::Operator, removePlacement },
        { "PUT", "teams/*", Access::Operator, putTeam },
        { "POST", "move", Access::Operator, planMove },
        { "POST", "move/*/start", Access::Operator, changeMove<wire::MOVE_STATE_RUNNING> },
        { "POST", "move/*/resume", Access::Operator, changeMove<wire::MOVE_STATE_RUNNING> },
        { "POST", "move/*/pause", Access::Operator, changeMove<wire::MOVE_STATE_PAUSED> },
        { "POST", "move/*/rollback", Access::Operator, changeMove<wire::MOVE_STATE_ROLLING_BACK> },
        { "POST", "zones/*/close", Access::Operator, changeZone<true> },
        { "POST", "zones/*/open", Access::Operator, changeZone<false> },
        { "POST", "members", Access::Operator, changeMembers },
        { "POST", "jobs", Access::TeamOrOperator, submitJob },
        { "DELETE", "jobs/*", Access::TeamOrOperator, cancelTeamJob },
        { "DELETE", "jobs/*/*", Access::Operator, cancelAnyJob },
} };

} // namespace

std::span<const Route> changeRoutes()
{
    return table;
}

} // namespace acaciafork::operators
