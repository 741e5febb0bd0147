#pragma once

#include <algorithm>
#include <string_view>

namespace acaciafork {

/// Calls `take(key, value)` for each `key=value` word of a log line, in order. A value in double
/// quotes goes on to the quote before the next word or the line's end, and comes without its
/// quotes. A word without a key comes with an empty one.
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
        const std::size_t length = std::min(line.find(' '), line.size());
        if (line.starts_with('"') && line.size() > 1) {
            const std::size_t close = std::min(line.find("\" ", 1), line.size());
            const std::size_t last = close == line.size() && line.back() == '"' ? close - 1 : close;
            take(key, line.substr(1, last - 1));
            line.remove_prefix(std::min(last + 1, line.size()));
            continue;
        }
        take(key, line.substr(0, length));
        line.remove_prefix(length);
    }
}

} // namespace acaciafork
