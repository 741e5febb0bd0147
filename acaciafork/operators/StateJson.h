#pragma once

#include <string_view>

#include <boost/json/object.hpp>

#include "acaciafork/operators/JsonFields.h"
#include "acaciafork/state/State.h"

namespace acaciafork::operators {

struct ZoneSummary;

/// @name Replicated records as JSON
/// @{
boost::json::object toJson(const wire::Resources &amounts);
boost::json::object toJson(const wire::ConfigRecord &record);
boost::json::object toJson(const wire::Rack &rack);
boost::json::object toJson(const wire::Placement &placement);
boost::json::object toJson(const wire::Team &team, const state::Tasks::Usage &usage);
boost::json::object toJson(const wire::Move &move);
boost::json::object toJson(std::string_view id, const state::Task &task);
boost::json::object toJson(std::string_view name, const ZoneSummary &zone);
/// @}

/// @name JSON as parts of commands
/// What is wrong stays in `fields`.
/// @{
void fromJson(JsonFields *fields, wire::Resources *amounts);
void fromJson(JsonFields *fields, wire::ConfigDocument *document);
void fromJson(JsonFields *fields, wire::Placement *placement);
void fromJson(JsonFields *fields, wire::Team *team);
void fromJson(JsonFields *fields, wire::SubmitTask *task);
void fromJson(JsonFields *fields, wire::Move *move);
/// @}

/// Name of a service's class: interactive, batch or stream.
std::string_view serviceClassName(wire::ServiceClass serviceClass);

} // namespace acaciafork::operators
