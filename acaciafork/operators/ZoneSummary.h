#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "acaciafork/operators/Route.h"

namespace acaciafork::operators {

/// An availability zone as operators see it.
struct ZoneSummary
{
    /// Recorded workers.
    std::uint32_t workers = 0;
    /// The order that closed it, or null while it is open.
    const wire::ZoneClosure *closure = nullptr;
};

/// The zones known, by name: those of the settings, those of recorded workers and closed ones.
std::map<std::string, ZoneSummary, std::less<>> summarizeZones(const Context &context);

} // namespace acaciafork::operators
