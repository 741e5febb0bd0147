#include "acaciafork/core/Settings.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace acaciafork {

std::string describe(const SettingsProblems &problems)
{
    std::string text;
    for (const SettingsProblem &it : problems.problems) {
        text += it.file + ": [" + it.section + "] " + it.key + ": found " + it.found + ", allowed "
                + it.allowed + '\n';
    }
    return text;
}

Result<IniSections> parseIni(std::string_view text, std::string_view file)
{
    namespace pt = boost::property_tree;
    std::istringstream stream { std::string(text) };
    pt::ptree tree;
    try {
        pt::read_ini(stream, tree);
    } catch (const pt::ini_parser_error &e) {
        SettingsProblem problem { .file = std::string(file),
                                  .section = "line " + std::to_string(e.line()),
                                  .key = "",
                                  .found = e.message(),
                                  .allowed = "[section] and key=value lines, each key once" };
        return leaf::new_error(SettingsProblems { { std::move(problem) } });
    }

    IniSections sections;
    for (const auto &[section, keys] : tree) {
        // A key above the first section header has no children of its own.
        if (keys.empty() && !keys.data().empty()) {
            sections[""][section] = keys.data();
            continue;
        }
        for (const auto &[key, value] : keys)
            sections[section][key] = value.data();
    }
    return sections;
}

bool parseBoundedNumber(std::string_view text, std::int64_t least, std::int64_t most,
                        std::int64_t *number)
{
    const char *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, *number);
    return ec == std::errc() && ptr == end && *number >= least && *number <= most;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> words;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        std::string_view word = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
        while (!word.empty() && word.front() == ' ')
            word.remove_prefix(1);
        while (!word.empty() && word.back() == ' ')
            word.remove_suffix(1);
        if (!word.empty())
            words.emplace_back(word);
    }
    return words;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return fail(FailureKind::NotFound, "cannot read " + path);
    std::ostringstream buf;
    buf << stream.rdbuf();
    return buf.str();
}

} // namespace acaciafork
