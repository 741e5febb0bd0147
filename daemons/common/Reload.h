#pragma once

#include <string>

#include <spdlog/spdlog.h>

#include "acaciafork/core/Core.h"

namespace acaciafork {

/// Reads a settings file again and hands it to the process, which takes over what may change while
/// it runs. A file with problems changes nothing and is told in the log.
/// @param[in] read reads and checks the settings from the text of the file and its path
template <typename Process, typename Read>
void reloadSettings(const std::string &file, Process *process, Read read)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(ini, readFile(file));
                BOOST_LEAF_AUTO(settings, read(ini, file));
                return process->reload(settings);
            },
            [](const SettingsProblems &problems) {
                spdlog::error("event=reload-refused problems=\"{}\"", describe(problems));
            },
            [](const Failure &failure) {
                spdlog::error("event=reload-refused detail=\"{}\"", failure.detail);
            },
            [] { spdlog::error("event=reload-refused"); });
}

} // namespace acaciafork
