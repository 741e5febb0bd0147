#include "acaciafork/workers/WorkerCommand.h"

#include <array>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "acaciafork/net/JsonReader.h"

namespace acaciafork::workers {

namespace {

constexpr std::int64_t mostLeaseMs = 24LL * 3'600 * 1'000;
constexpr std::int64_t mostPerMille = 1'000;
constexpr std::size_t mostPayloadBytes = 1024UL * 1024;

constexpr std::array<std::string_view, 5> actionNames {
    "start", "renew", "throttle", "checkpoint", "stop",
};

} // namespace

std::string_view workerActionName(WorkerAction action)
{
    return actionNames[static_cast<std::size_t>(action)];
}

Result<WorkerCommand> decodeWorkerCommand(std::string_view task, std::string_view json)
{
    BOOST_LEAF_AUTO(object, net::parseJsonObject(json));
    net::JsonReader reader(object);
    WorkerCommand it;
    it.task = { std::string(task) };
    it.action = static_cast<WorkerAction>(reader.choice(
            "action",
            { actionNames[0], actionNames[1], actionNames[2], actionNames[3], actionNames[4] }));
    it.epoch = { static_cast<std::uint64_t>(reader.number("epoch", 1, INT64_MAX)) };
    it.leaseDuration =
            std::chrono::milliseconds(reader.optionalNumber("leaseMs", 0, mostLeaseMs, 0));
    it.incarnation = { static_cast<std::uint64_t>(
            reader.optionalNumber("incarnation", 0, INT64_MAX, 0)) };
    it.reportSequence =
            static_cast<std::uint64_t>(reader.optionalNumber("reportSequence", 0, INT64_MAX, 0));
    it.perMille = reader.optionalNumber("perMille", 0, mostPerMille, mostPerMille);
    it.release = reader.optionalNumber("release", 0, 1, 0) == 1;
    it.payload = reader.optionalText("payload", mostPayloadBytes);
    it.checkpoint = reader.optionalText("checkpoint");
    if (auto ok = reader.check(); !ok)
        return ok.error();
    return it;
}

std::string encodeWorkerCommand(const WorkerCommand &command)
{
    const boost::json::object object {
        { "action", workerActionName(command.action) },
        { "epoch", command.epoch.value },
        { "leaseMs", command.leaseDuration.count() / 1'000 },
        { "incarnation", command.incarnation.value },
        { "reportSequence", command.reportSequence },
        { "perMille", command.perMille },
        { "release", command.release ? 1 : 0 },
        { "payload", command.payload },
        { "checkpoint", command.checkpoint },
    };
    return boost::json::serialize(object);
}

} // namespace acaciafork::workers
