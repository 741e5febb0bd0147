#include "CtlSettings.h"

#include <array>

namespace acaciafork::ctl {
namespace {

const std::array<SettingField<CtlSettings>, 3> fields { {
        { "ctl", "addresses", &CtlSettings::addresses, 0, 0, true,
          "operators' addresses of the control members, host:port" },
        { "ctl", "token-file", &CtlSettings::tokenFile, 0, 0, true,
          "file that holds the bearer token" },
        { "ctl", "output", &CtlSettings::output, 0, 0, false, "text or json" },
} };

} // namespace

std::span<const SettingField<CtlSettings>> ctlSettingFields()
{
    return fields;
}

Result<CtlSettings> readCtlSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    BOOST_LEAF_AUTO(sections, parseIni(text, path));
    CtlSettings settings;
    if (auto read = readSettings<CtlSettings>(sections, path, fields, &settings); !read)
        return read.error();
    return settings;
}

} // namespace acaciafork::ctl
