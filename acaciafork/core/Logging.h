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

/// Sets up spdlog for this process; lines go to standard output and
/// never wait for their reader. Call once, at the start of main().
/// @param[in] process what lines name the process by, such as "acaciafork-entry-4"
void initLogging(const LoggingSettings &settings, const std::string &process);

/// Writes the lines gathered so far, as far as their reader takes them; from time to time, and at
/// the end of a process.
void flushLog();

} // namespace acaciafork
