#include "acaciafork/workers/WorkerReport.h"

#include <algorithm>
#include <array>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "acaciafork/net/JsonReader.h"

namespace acaciafork::workers {

namespace json = boost::json;

namespace {

constexpr std::int64_t mostMillicores = 10'000'000;
constexpr std::int64_t mostMemoryMb = 1'000'000'000;
constexpr std::int64_t mostAccelerators = 10'000;
constexpr std::int64_t mostLagMs = 24LL * 3'600 * 1'000;
constexpr std::size_t mostTasks = 10'000;
constexpr std::size_t mostCheckpointBytes = 4'096;

constexpr std::array<std::string_view, 7> statusNames {
    "running", "throttled", "checkpointing", "checkpointed", "stopped", "finished", "failed",
};

Result<TaskReport> decodeTask(const json::object &object)
{
    net::JsonReader reader(object);
    TaskReport it;
    it.task = { reader.text("task") };
    it.epoch = { static_cast<std::uint64_t>(reader.number("epoch", 1, INT64_MAX)) };
    it.status = static_cast<TaskStatus>(
            reader.choice("status",
                          { statusNames[0], statusNames[1], statusNames[2], statusNames[3],
                            statusNames[4], statusNames[5], statusNames[6] }));
    it.checkpoint = reader.optionalText("checkpoint", mostCheckpointBytes);
    if (auto ok = reader.check(); !ok)
        return ok.error();
    return it;
}

json::object taskObject(const TaskReport &report)
{
    return { { "task", report.task.value },
             { "epoch", report.epoch.value },
             { "status", taskStatusName(report.status) },
             { "checkpoint", report.checkpoint } };
}

Result<TaskUsage> decodeTaskUsage(const json::object &object)
{
    net::JsonReader reader(object);
    TaskUsage it;
    it.task = { reader.text("task") };
    it.epoch = { static_cast<std::uint64_t>(reader.number("epoch", 1, INT64_MAX)) };
    it.millicores = reader.number("millicores", 0, mostMillicores);
    it.memoryMb = reader.number("memoryMb", 0, mostMemoryMb);
    it.speedPerMille = reader.optionalNumber("speedPerMille", 0, 1'000'000, 1'000);
    if (auto ok = reader.check(); !ok)
        return ok.error();
    return it;
}

/// Decodes each element of the array `tasks` by `decode`.
template <typename T>
Result<std::vector<T>> decodeTasks(net::JsonReader &reader,
                                   Result<T> (*decode)(const json::object &))
{
    std::vector<T> tasks;
    const json::array *array = reader.optionalArray("tasks");
    if (array == nullptr)
        return tasks;
    if (array->size() > mostTasks)
        return fail(FailureKind::InvalidArgument, "field tasks: allowed is up to 10000 elements");
    tasks.reserve(array->size());
    for (const auto &value : *array) {
        if (!value.is_object())
            return fail(FailureKind::InvalidArgument,
                        "field tasks: allowed is an array of objects");
        BOOST_LEAF_AUTO(task, decode(value.get_object()));
        tasks.push_back(std::move(task));
    }
    return tasks;
}

} // namespace

std::string_view taskStatusName(TaskStatus status)
{
    return statusNames[static_cast<std::size_t>(status)];
}

Result<WorkerReport> decodeWorkerReport(std::string_view worker, std::string_view text)
{
    BOOST_LEAF_AUTO(object, net::parseJsonObject(text));
    net::JsonReader reader(object);
    WorkerReport it;
    it.worker = { std::string(worker) };
    it.incarnation = { static_cast<std::uint64_t>(reader.number("incarnation", 1, INT64_MAX)) };
    it.sequence = static_cast<std::uint64_t>(reader.number("sequence", 0, INT64_MAX));
    it.rack = { reader.text("rack") };
    it.building = { reader.text("building") };
    it.zone = { reader.text("zone") };
    it.millicores = reader.number("millicores", 1, mostMillicores);
    it.memoryMb = reader.number("memoryMb", 1, mostMemoryMb);
    it.accelerators = reader.optionalNumber("accelerators", 0, mostAccelerators, 0);
    it.address = reader.address("address");
    BOOST_LEAF_ASSIGN(it.tasks, decodeTasks<TaskReport>(reader, decodeTask));
    if (auto ok = reader.check(); !ok)
        return ok.error();
    return it;
}

Result<TaskReport> decodeTaskReport(std::string_view text)
{
    BOOST_LEAF_AUTO(object, net::parseJsonObject(text));
    return decodeTask(object);
}

std::string encodeTaskReport(const TaskReport &report)
{
    return json::serialize(taskObject(report));
}

Result<UsageReport> decodeUsageReport(std::string_view worker, std::string_view text)
{
    BOOST_LEAF_AUTO(object, net::parseJsonObject(text));
    net::JsonReader reader(object);
    UsageReport it;
    it.worker = { std::string(worker) };
    it.incarnation = { static_cast<std::uint64_t>(reader.number("incarnation", 1, INT64_MAX)) };
    it.sequence = static_cast<std::uint64_t>(reader.number("sequence", 0, INT64_MAX));
    it.lag = std::chrono::milliseconds(reader.number("lagMs", 0, mostLagMs));
    it.window = std::chrono::milliseconds(reader.number("windowMs", 1, mostLagMs));
    BOOST_LEAF_ASSIGN(it.tasks, decodeTasks<TaskUsage>(reader, decodeTaskUsage));
    if (auto ok = reader.check(); !ok)
        return ok.error();
    return it;
}

std::string encodeWorkerReport(const WorkerReport &report)
{
    json::array tasks;
    for (const auto &it : report.tasks)
        tasks.push_back(taskObject(it));
    const json::object object {
        { "incarnation", report.incarnation.value },
        { "sequence", report.sequence },
        { "rack", report.rack.value },
        { "building", report.building.value },
        { "zone", report.zone.value },
        { "millicores", report.millicores },
        { "memoryMb", report.memoryMb },
        { "accelerators", report.accelerators },
        { "address", report.address.toString() },
        { "tasks", std::move(tasks) },
    };
    return json::serialize(object);
}

std::string encodeUsageReport(const UsageReport &report)
{
    json::array tasks;
    for (const auto &it : report.tasks) {
        tasks.push_back(json::object { { "task", it.task.value },
                                       { "epoch", it.epoch.value },
                                       { "millicores", it.millicores },
                                       { "memoryMb", it.memoryMb },
                                       { "speedPerMille", it.speedPerMille } });
    }
    const json::object object {
        { "incarnation", report.incarnation.value },
        { "sequence", report.sequence },
        { "lagMs", report.lag.count() / 1'000 },
        { "windowMs", report.window.count() / 1'000 },
        { "tasks", std::move(tasks) },
    };
    return json::serialize(object);
}

} // namespace acaciafork::workers
