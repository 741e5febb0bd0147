#pragma once

#include <string_view>
#include <vector>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::peers {

/// Services that a configuration document (encoded wire::ConfigDocument) names, as routing takes
/// them. Fails with Protocol when the bytes are no document.
Result<std::vector<routing::ServiceSettings>> decodeServices(std::string_view document);

} // namespace acaciafork::peers
