#pragma once

#include <algorithm>
#include <string_view>

namespace acaciafork {

/// Where the quote that closes a value stands, in a line that begins with the quote that opens it:
/// the first one before another `key=` word, else the last of the line; its length without one.
inline std::size_t findClosingQuote(std::string_view line)
{
    for (std::size_t it = line.find("\" ", 1); it != std::string_view::npos;
         it = line.find("\" ", it + 1)) {
        const std::string_view rest = line.substr(it + 2);
        if (rest.substr(0, rest.find(' ')).find('=') != std::string_view::npos)
            return it;
    }
    const std::size_t last = line.rfind('"');
    return last == 0 ? line.size() : last;
}

/// Calls `take(key, value)` for each `key=value` word of a log line, in order. A value in double
/// quotes may hold blanks and quotes, and comes without its own. A word without a key comes with an
/// empty one.
template <typename Take>
void forEachLogWord(std::string_view line, Take take)
{
    while (!line.empty()) {
        if (line.front() == ' ') {
            line.remove_prefix(1);
            continue;
        }
        const std::size_t wordEnd = std::min(line.find(' '), line.size());
        const std::size_t equals = line.substr(0, wordEnd).find('=');
        if (equals == std::string_view::npos) {
            take(std::string_view(), line.substr(0, wordEnd));
            line.remove_prefix(wordEnd);
            continue;
        }
        const std::string_view key = line.substr(0, equals);
        line.remove_prefix(equals + 1);
        if (line.starts_with('"')) {
            const std::size_t close = findClosingQuote(line);
            take(key, line.substr(1, close - 1));
            line.remove_prefix(std::min(close + 1, line.size()));
            continue;
        }
        const std::size_t length = std::min(line.find(' '), line.size());
        take(key, line.substr(0, length));
        line.remove_prefix(length);
    }
}

} // namespace acaciafork
