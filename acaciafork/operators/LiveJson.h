#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "acaciafork/operators/ApiCall.h"
#include "acaciafork/operators/LiveViews.h"

namespace acaciafork::operators {

/// @name Live views as JSON
/// @{
boost::json::object toJson(const EndpointView &endpoint);
boost::json::object toJson(const WorkerView &worker);
boost::json::object toJson(const MemberView &member);
boost::json::object toJson(const ProcessView &process);
boost::json::object toJson(const ClusterView &cluster);
boost::json::object toJson(const MoveProjection &projection);
/// @}

/// List of views under one key, such as `{"workers":[...]}`.
template <typename View>
boost::json::object listOf(std::string_view key, const std::vector<View> &views)
{
    boost::json::array list;
    list.reserve(views.size());
    for (const View &it : views)
        list.push_back(toJson(it));
    return { { key, std::move(list) } };
}

/// Reply to `GET timeline`; entries give it too, without an OperatorApi.
ApiReply timelineReply(const Timeline &timeline);

/// Reply to `GET counters`; entries give it too, without an OperatorApi.
ApiReply countersReply(const CounterRegistry &counters);

} // namespace acaciafork::operators
