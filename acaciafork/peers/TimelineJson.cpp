#include "acaciafork/peers/TimelineJson.h"

#include <boost/json.hpp>

namespace acaciafork::peers {

std::string timelineJson(const Timeline &timeline)
{
    namespace json = boost::json;
    json::array events;
    for (const Event &it : timeline.events()) {
        events.push_back(json::object { { "wall_us", it.time.wallMicroseconds },
                                        { "logical", it.time.logical },
                                        { "process", it.process.value },
                                        { "kind", eventKindName(it.kind) },
                                        { "subject", it.subject },
                                        { "detail", it.detail } });
    }
    return json::serialize(
            json::object { { "dropped", timeline.dropped() }, { "events", std::move(events) } });
}

} // namespace acaciafork::peers
