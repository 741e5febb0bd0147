#include "acaciafork/operators/Route.h"

#include "acaciafork/core/Settings.h"

namespace acaciafork::operators {

std::string Request::queryText(std::string_view key) const
{
    const auto it = query.find(key);
    return it == query.end() ? std::string() : it->second;
}

Result<std::uint64_t> Request::queryNumber(std::string_view key, std::int64_t least,
                                           std::int64_t most, std::int64_t absent) const
{
    const auto it = query.find(key);
    std::int64_t number = absent;
    if (it != query.end() && !parseBoundedNumber(it->second, least, most, &number))
        return fail(FailureKind::InvalidArgument,
                    std::string(key) + ": must be a whole number from " + std::to_string(least)
                            + " to " + std::to_string(most));
    return static_cast<std::uint64_t>(number);
}

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> segments;
    for (;;) {
        const std::size_t slash = path.find('/');
        segments.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos)
            return segments;
        path.remove_prefix(slash + 1);
    }
}

bool matches(std::string_view pattern, std::span<const std::string_view> path,
             std::vector<std::string> *captures)
{
    const std::vector<std::string_view> wanted = splitPath(pattern);
    if (wanted.size() != path.size())
        return false;
    captures->clear();
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        if (wanted[i] == "*" && !path[i].empty())
            captures->emplace_back(path[i]);
        else if (wanted[i] != path[i])
            return false;
    }
    return true;
}

Result<void> parseQuery(std::string_view text, Request *request)
{
    while (!text.empty()) {
        const std::size_t end = text.find('&');
        const std::string_view word = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        const std::size_t equals = word.find('=');
        if (equals == std::string_view::npos || word.find('%') != std::string_view::npos)
            return fail(FailureKind::InvalidArgument, "the query must be key=value, not escaped");
        request->query.emplace(word.substr(0, equals), word.substr(equals + 1));
    }
    return {};
}

} // namespace acaciafork::operators
