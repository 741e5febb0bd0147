#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "acaciafork/core/Core.h"

namespace acaciafork {

/// What the command line of a daemon asks for.
struct CommandLine
{
    /// Path of the INI file.
    std::string settingsFile;
    /// Check the settings, say so and end.
    bool checkSettings = false;
};

/// How a daemon presents itself and runs.
struct DaemonProgram
{
    /// Program name, such as "acaciafork-entry".
    std::string_view name;
    /// One sentence for --help.
    std::string_view purpose;
    /// The table of settings for --help, one line a key.
    std::string settingsHelp;
    /// Reads and checks the settings; runs the loop unless only a check is asked for.
    std::function<Result<void>(const CommandLine &)> run;
};

/// Parses the command line, runs the program and turns every typed failure into a message on
/// standard error and the exit code of its kind.
int runDaemon(const DaemonProgram &program, int argc, const char *const *argv);

/// One line a key for --help: section, key, bounds and meaning.
template <typename S>
std::string describeFields(std::span<const SettingField<S>> fields)
{
    std::string text;
    for (const SettingField<S> &it : fields) {
        text += "  [" + std::string(it.section) + "] " + std::string(it.key)
                + (it.required ? " (required)" : "") + ": " + std::string(it.meaning) + '\n';
    }
    return text;
}

} // namespace acaciafork
