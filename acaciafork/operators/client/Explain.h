#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json/value.hpp>

namespace acaciafork::operators {

/// One line of a process's log, in either format.
struct LogLine
{
    /// As the process wrote it: ISO 8601 in UTC, so that lines sort by it.
    std::string time;
    std::string process;
    std::string event;
    /// All other words, in order.
    std::vector<std::pair<std::string, std::string>> words;

    /// Value of a word; empty when the line has none of that key.
    [[nodiscard]] std::string_view word(std::string_view key) const;
    /// Value of a word that is a whole number; 0 for any other.
    [[nodiscard]] std::int64_t number(std::string_view key) const;
};

/// Lines of a log that name an event; whatever stands before `time=` is passed over.
std::vector<LogLine> readLogLines(std::string_view text);

/// Account of one job, as the logs of all processes tell it.
struct Explanation
{
    std::string id;
    /// What became of it, in one sentence.
    std::string verdict;
    /// What made it so, one sentence each, the weightiest first.
    std::vector<std::string> causes;
    /// Lines about the job, and about the group and its workers while it went on, by time.
    std::vector<LogLine> lines;
};

/// Explains a job from the logs of as many processes as there are.
Explanation explain(std::string_view id, std::span<const std::string> logs);

std::string explanationText(const Explanation &explanation);
boost::json::value explanationJson(const Explanation &explanation);

} // namespace acaciafork::operators
