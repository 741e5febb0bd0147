#pragma once

#include <span>
#include <string>
#include <vector>

#include "acaciafork/core/Settings.h"

namespace acaciafork::ctl {

/// Settings file of acaciaforkctl; the command line goes before it.
struct CtlSettings
{
    std::vector<std::string> addresses;
    std::string tokenFile;
    std::string output = "text";
};

/// Keys of the settings file.
std::span<const SettingField<CtlSettings>> ctlSettingFields();

/// Reads a settings file.
/// Fails with SettingsProblems, or with Failure when it can't be read.
Result<CtlSettings> readCtlSettings(const std::string &path);

} // namespace acaciafork::ctl
