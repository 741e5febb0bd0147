#pragma once

#include <string_view>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::entry {

/// Stable lower-case name of a reason, such as "queue-full"; the detail of a refusal.
std::string_view refusalReasonName(routing::RefusalReason reason);

} // namespace acaciafork::entry
