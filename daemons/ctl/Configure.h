#pragma once

#include <string>

#include "acaciafork/core/Failure.h"

namespace acaciafork::ctl {

/// What `configure` is asked for.
struct ConfigureOptions
{
    /// Answers file; empty asks at the terminal.
    std::string answersFile;
    /// Folder that takes the generated files.
    std::string folder;
    /// Prints the explanation page too.
    bool explain = false;
};

/// Runs the questionnaire and writes the generated files, the explanation page and the answers.
/// Fails with SettingsProblems or Failure.
Result<void> configure(const ConfigureOptions &options);

} // namespace acaciafork::ctl
