#include "acaciafork/operators/LiveJson.h"

#include <boost/json.hpp>

#include "acaciafork/operators/Replies.h"

namespace acaciafork::operators {

namespace json = boost::json;

json::object toJson(const EndpointView &endpoint)
{
    return { { "name", endpoint.name.view() }, { "service", endpoint.service.view() },
             { "address", endpoint.address },  { "zone", endpoint.zone.view() },
             { "rack", endpoint.rack.view() }, { "state", endpoint.state },
             { "slots", endpoint.slots },      { "connections", endpoint.connections },
             { "granted", endpoint.granted },  { "quarantined", endpoint.quarantined } };
}

json::object toJson(const WorkerView &worker)
{
    return { { "name", worker.name.view() },
             { "address", worker.address },
             { "zone", worker.zone.view() },
             { "rack", worker.rack.view() },
             { "state", worker.state },
             { "millicores", worker.millicores },
             { "memoryMb", worker.memoryMb },
             { "accelerators", worker.accelerators },
             { "millicoresLeased", worker.millicoresLeased },
             { "memoryMbLeased", worker.memoryMbLeased },
             { "tasks", worker.tasks } };
}

json::object toJson(const MemberView &member)
{
    return { { "id", member.id.value },           { "zone", member.zone.view() },
             { "address", member.address },       { "role", member.role },
             { "matchIndex", member.matchIndex }, { "reachable", member.reachable } };
}

json::object toJson(const ProcessView &process)
{
    return { { "id", process.id.value },      { "role", process.role },
             { "zone", process.zone.view() }, { "operators", process.operatorsAddress },
             { "state", process.state },      { "configVersion", process.config.value } };
}

json::object toJson(const ClusterView &cluster)
{
    return { { "cluster", cluster.cluster },         { "self", cluster.self.value },
             { "leader", cluster.leader.value },     { "term", cluster.term },
             { "commitIndex", cluster.commitIndex }, { "membersToSpare", cluster.membersToSpare } };
}

json::object toJson(const MoveProjection &projection)
{
    return { { "finishUs", projection.finishMicroseconds },
             { "tasksLeft", projection.tasksLeft },
             { "waitingFor", projection.waitingFor } };
}

ApiReply timelineReply(const Timeline &timeline)
{
    json::array events;
    for (const Event &it : timeline.events())
        events.push_back({ { "wallUs", it.time.wallMicroseconds },
                           { "logical", it.time.logical },
                           { "process", it.process.value },
                           { "kind", eventKindName(it.kind) },
                           { "subject", it.subject },
                           { "detail", it.detail } });
    return jsonReply(
            json::object { { "events", std::move(events) }, { "dropped", timeline.dropped() } });
}

ApiReply countersReply(const CounterRegistry &counters)
{
    json::object values;
    for (const Counter &it : counters.all())
        values[it.name] = it.value;
    return jsonReply(json::object { { "counters", std::move(values) } });
}

} // namespace acaciafork::operators
