#pragma once

#include <string>

#include "acaciafork/core/Core.h"

namespace acaciafork::peers {

/// A process's own time line as JSON: `{"process":..,"dropped":..,"events":[{"wall_us":..,
/// "logical":..,"process":..,"kind":"..","subject":"..","detail":".."}]}`.
std::string timelineJson(const Timeline &timeline);

} // namespace acaciafork::peers
