#pragma once

#include <string>
#include <string_view>

#include "acaciafork/core/Ids.h"

namespace acaciafork {

/// Shape of the lines that a process writes.
struct LoggingSettings
{
    /// True for one JSON object a line, false for `key=value` words.
    bool json = false;
    /// Least level written: debug, info, warning or error.
    std::string level = "info";
};

/// Sets up spdlog for this process; lines go to standard output. Call once, at the start of main().
void initLogging(const LoggingSettings &settings, std::string_view program, ProcessId process);

} // namespace acaciafork
