#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Time.h"

namespace acaciafork {

/// One thing wrong with a settings file.
struct SettingsProblem
{
    std::string file;
    std::string section;
    std::string key;
    std::string found;
    std::string allowed;

    auto operator<=>(const SettingsProblem &) const = default;
};

/// Failure type: every problem of a settings file at once.
struct SettingsProblems
{
    std::vector<SettingsProblem> problems;
};

/// One line per problem: `file: [section] key: found ..., allowed ...`.
std::string describe(const SettingsProblems &problems);

/// Sections of an INI file, each a map of keys to texts; order of keys is not kept.
using IniSections = std::map<std::string, std::map<std::string, std::string>>;

/// Parses INI text.
/// Fails with SettingsProblems when it is not well formed or a key stands twice.
Result<IniSections> parseIni(std::string_view text, std::string_view file);

/// Bounds and meaning of one key of settings struct S, and the member that it sets.
template <typename S>
struct SettingField
{
    /// Member that takes the value. Durations are written in milliseconds, flags as true or false,
    /// lists as words with commas between them.
    using Member = std::variant<std::int64_t S::*, Duration S::*, bool S::*, std::string S::*,
                                std::vector<std::string> S::*>;

    std::string_view section;
    std::string_view key;
    Member member;
    /// Smallest and largest number; milliseconds for durations; unused for the rest.
    std::int64_t least = 0;
    std::int64_t most = INT64_MAX;
    /// A required key has no default.
    bool required = false;
    /// One sentence for --help and the documents.
    std::string_view meaning;
};

/// Parses one number in [least, most]; false when it is not one.
bool parseBoundedNumber(std::string_view text, std::int64_t least, std::int64_t most,
                        std::int64_t *number);

/// Splits at commas and trims blanks; empty words are dropped.
std::vector<std::string> splitList(std::string_view text);

/// Reads `sections` into `settings` by the table `fields`, checking everything.
/// @param[in,out] settings holds the defaults on entry
/// Fails with SettingsProblems that list every unknown, missing and wrong key.
template <typename S>
Result<void> readSettings(const IniSections &sections, std::string_view file,
                          std::span<const SettingField<S>> fields, S *settings);

/// Reads a whole file into a text. Fails with Failure when it can't be read.
Result<std::string> readFile(const std::string &path);

} // namespace acaciafork

#include "acaciafork/core/Settings.inl"
