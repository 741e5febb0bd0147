#include "acaciafork/operators/StateJson.h"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

#include "acaciafork/operators/Tokens.h"
#include "acaciafork/operators/ZoneSummary.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

constexpr std::uint64_t most32 = UINT32_MAX;
constexpr std::uint64_t longestRunMs = std::uint64_t(366) * 24 * 3600 * 1000;

constexpr std::array<std::string_view, wire::ServiceClass_ARRAYSIZE> classNames {
    "interactive",
    "batch",
    "stream",
};

/// One number of a service, how it is read and how it is set.
struct ServiceField
{
    std::string_view key;
    std::uint32_t (wire::ServiceSpec::*get)() const;
    void (wire::ServiceSpec::*set)(std::uint32_t);
    std::uint32_t absent;
};

constexpr std::array<ServiceField, 11> serviceFields { {
        { "slots", &wire::ServiceSpec::slots, &wire::ServiceSpec::set_slots, 0 },
        { "connections", &wire::ServiceSpec::connections, &wire::ServiceSpec::set_connections, 0 },
        { "shortWorkSlots", &wire::ServiceSpec::short_work_slots,
          &wire::ServiceSpec::set_short_work_slots, 0 },
        { "shortWorkMs", &wire::ServiceSpec::short_work_ms, &wire::ServiceSpec::set_short_work_ms,
          0 },
        { "deadlineMs", &wire::ServiceSpec::deadline_ms, &wire::ServiceSpec::set_deadline_ms, 0 },
        { "longestDeadlineMs", &wire::ServiceSpec::longest_deadline_ms,
          &wire::ServiceSpec::set_longest_deadline_ms, 0 },
        { "queueLimit", &wire::ServiceSpec::queue_limit, &wire::ServiceSpec::set_queue_limit, 0 },
        { "retryBudgetPercent", &wire::ServiceSpec::retry_budget_percent,
          &wire::ServiceSpec::set_retry_budget_percent, 0 },
        { "ejectedPercent", &wire::ServiceSpec::ejected_percent,
          &wire::ServiceSpec::set_ejected_percent, 0 },
        { "slowStartMs", &wire::ServiceSpec::slow_start_ms, &wire::ServiceSpec::set_slow_start_ms,
          0 },
        { "requestBodyLimitBytes", &wire::ServiceSpec::request_body_limit_bytes,
          &wire::ServiceSpec::set_request_body_limit_bytes, 0 },
} };

json::object toJson(const wire::ServiceSpec &service)
{
    json::object body { { "name", service.name() },
                        { "class", serviceClassName(service.service_class()) } };
    for (const ServiceField &it : serviceFields)
        body[it.key] = (service.*it.get)();
    return body;
}

void fromJson(JsonFields *fields, wire::ServiceSpec *service)
{
    service->set_name(fields->text("name"));
    const std::string name = fields->text("class");
    const auto *const it = std::find(classNames.begin(), classNames.end(), name);
    if (it == classNames.end())
        fields->refuse("class", "must be interactive, batch or stream");
    else
        service->set_service_class(static_cast<wire::ServiceClass>(it - classNames.begin()));
    for (const ServiceField &field : serviceFields) {
        const std::uint64_t number = fields->number(field.key, 0, most32, field.absent);
        (service->*field.set)(static_cast<std::uint32_t>(number));
    }
}

void fromJson(JsonFields *fields, wire::MoveStep *step)
{
    step->set_rack(fields->text("rack"));
    const std::string action = fields->text("action");
    if (action != "drain" && action != "retire")
        fields->refuse("action", "must be drain or retire");
    step->set_action(action == "retire" ? wire::MOVE_ACTION_RETIRE : wire::MOVE_ACTION_DRAIN);
}

void fromJson(JsonFields *fields, wire::RoleSettings *role)
{
    role->set_role(fields->text("role"));
    role->set_ini(fields->text("ini"));
}

/// Reads a list of objects, each into a new element of a repeated field.
template <typename Message, typename List>
void readList(JsonFields *fields, std::string_view key, List *list)
{
    std::size_t index = 0;
    for (const json::object *it : fields->objects(key)) {
        JsonFields inner(*it, fields->pathOf(key, index++));
        Message *message = list->Add();
        fromJson(&inner, message);
        fields->absorb(inner);
    }
}

/// Reads the object of a field as amounts of resources.
void readResources(JsonFields *fields, std::string_view key, wire::Resources *amounts)
{
    const json::object *object = fields->object(key);
    if (object == nullptr) {
        fields->refuse(key, "must be an object");
        return;
    }
    JsonFields inner(*object, std::string(key) + '.');
    fromJson(&inner, amounts);
    fields->absorb(inner);
}

} // namespace

std::string_view serviceClassName(wire::ServiceClass serviceClass)
{
    return classNames.at(static_cast<std::size_t>(serviceClass));
}

json::object toJson(const wire::Resources &amounts)
{
    return { { "millicores", amounts.millicores() },
             { "memoryMb", amounts.memory_mb() },
             { "accelerators", amounts.accelerators() } };
}

json::object toJson(const wire::ConfigRecord &record)
{
    json::array services;
    for (const wire::ServiceSpec &it : record.document().services())
        services.push_back(toJson(it));
    json::array roles;
    for (const wire::RoleSettings &it : record.document().roles())
        roles.push_back({ { "role", it.role() }, { "ini", it.ini() } });
    return { { "version", record.version() },
             { "timeUs", record.time_us() },
             { "author", record.author() },
             { "services", std::move(services) },
             { "roles", std::move(roles) } };
}

json::object toJson(const wire::Rack &rack)
{
    return { { "name", rack.name() },       { "building", rack.building() },
             { "zone", rack.zone() },       { "state", state::rackStateName(rack.state()) },
             { "version", rack.version() }, { "sinceUs", rack.since_us() } };
}

json::object toJson(const wire::Placement &placement)
{
    return { { "service", placement.service() },
             { "replicas", placement.replicas() },
             { "size", toJson(placement.size()) },
             { "family", placement.family() },
             { "buildings",
               json::array(placement.buildings().begin(), placement.buildings().end()) },
             { "mostPerRack", placement.most_per_rack() },
             { "version", placement.version() } };
}

json::object toJson(const wire::Team &team, const state::Tasks::Usage &usage)
{
    return { { "name", team.name() },
             { "quota", toJson(team.quota()) },
             { "used",
               { { "millicores", usage.millicores },
                 { "memoryMb", usage.memoryMb },
                 { "accelerators", usage.accelerators } } },
             { "weight", team.weight() },
             { "version", team.version() } };
}

json::object toJson(const wire::Move &move)
{
    json::array steps;
    for (const wire::MoveStep &it : move.steps())
        steps.push_back({ { "action", state::moveActionName(it.action()) },
                          { "rack", it.rack() },
                          { "done", it.done() } });
    return { { "id", move.id() },
             { "from", move.from_building() },
             { "to", move.to_building() },
             { "deadlineUs", move.deadline_us() },
             { "state", state::moveStateName(move.state()) },
             { "version", move.version() },
             { "stepsDone", state::stepsDone(move) },
             { "steps", std::move(steps) } };
}

json::object toJson(std::string_view id, const state::Task &task)
{
    json::object body { { "id", id },
                        { "family", task.family.view() },
                        { "state", state::taskStateName(task.state) },
                        { "epoch", task.epoch.value },
                        { "millicores", task.size.millicores },
                        { "memoryMb", task.size.memoryMb },
                        { "accelerators", task.size.accelerators },
                        { "declaredRunMs", task.declaredRunMs },
                        { "urgent", task.urgent },
                        { "failures", task.failures },
                        { "evictions", task.evictions },
                        { "cancelRequested", task.cancelRequested },
                        { "submittedUs", task.submittedMicroseconds },
                        { "changedUs", task.changedMicroseconds } };

    // Texts that are mostly empty are left out.
    const std::pair<std::string_view, std::string_view> texts[] = {
        { "team", task.team.view() },
        { "service", task.service.view() },
        { "worker", task.worker.view() },
        { "checkpoint", task.checkpoint },
        { "reason", task.reason.view() }
    };
    for (const auto &[key, value] : texts) {
        if (!value.empty())
            body[key] = value;
    }
    return body;
}

json::object toJson(std::string_view name, const ZoneSummary &zone)
{
    json::object body { { "name", name },
                        { "workers", zone.workers },
                        { "closed", zone.closure != nullptr } };
    if (zone.closure != nullptr)
        body["sinceUs"] = zone.closure->since_us();
    return body;
}

void fromJson(JsonFields *fields, wire::Resources *amounts)
{
    amounts->set_millicores(fields->number("millicores", 0, state::maxResourceAmount, 0));
    amounts->set_memory_mb(fields->number("memoryMb", 0, state::maxResourceAmount, 0));
    amounts->set_accelerators(fields->number("accelerators", 0, state::maxResourceAmount, 0));
}

void fromJson(JsonFields *fields, wire::ConfigDocument *document)
{
    readList<wire::ServiceSpec>(fields, "services", document->mutable_services());
    readList<wire::RoleSettings>(fields, "roles", document->mutable_roles());
}

void fromJson(JsonFields *fields, wire::Placement *placement)
{
    placement->set_replicas(static_cast<std::uint32_t>(fields->requiredNumber("replicas", most32)));
    readResources(fields, "size", placement->mutable_size());
    placement->set_family(fields->optionalText("family"));
    for (std::string &it : fields->texts("buildings"))
        placement->add_buildings(std::move(it));
    placement->set_most_per_rack(
            static_cast<std::uint32_t>(fields->number("mostPerRack", 0, most32, 0)));
}

void fromJson(JsonFields *fields, wire::Team *team)
{
    const std::optional<std::string> digest = digestFromHex(fields->text("tokenDigest"));
    if (!digest)
        fields->refuse("tokenDigest", "must be 64 hexadecimal digits");
    team->set_token_digest(digest.value_or(std::string()));
    readResources(fields, "quota", team->mutable_quota());
    team->set_weight(static_cast<std::uint32_t>(fields->number("weight", 1, most32, 1)));
}

void fromJson(JsonFields *fields, wire::SubmitTask *task)
{
    task->set_family(fields->optionalText("family"));
    fromJson(fields, task->mutable_size());
    task->set_declared_run_ms(fields->number("declaredRunMs", 0, longestRunMs, 0));
    task->set_urgent(fields->flag("urgent"));
    task->set_payload(fields->optionalText("payload"));
}

void fromJson(JsonFields *fields, wire::Move *move)
{
    move->set_id(fields->text("id"));
    move->set_from_building(fields->text("from"));
    move->set_to_building(fields->text("to"));
    move->set_deadline_us(
            static_cast<std::int64_t>(fields->requiredNumber("deadlineUs", INT64_MAX)));
    readList<wire::MoveStep>(fields, "steps", move->mutable_steps());
}

} // namespace acaciafork::operators
