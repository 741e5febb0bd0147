#include "acaciafork/entry/RequestDigest.h"

#include <algorithm>
#include <cctype>
#include <string>

#include <xxhash.h>

namespace acaciafork::entry {
namespace {

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

std::uint64_t routeHash(std::string_view method, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    std::uint64_t value = hash(method, 0);
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view segment = path.substr(0, path.find('/'));
        path.remove_prefix(segment.size());
        const bool namesOne = std::any_of(segment.begin(), segment.end(),
                                          [](unsigned char c) { return std::isdigit(c) != 0; });
        value = hash(namesOne ? "*" : segment, value);
    }
    return value;
}

std::uint64_t keyDigest(std::string_view key)
{
    if (key.empty())
        return 0;
    return std::max<std::uint64_t>(hash(key, 0), 1);
}

std::uint64_t bodyDigest(std::string_view method, std::string_view path, std::string_view body)
{
    return hash(body, hash(path, hash(method, 0)));
}

} // namespace acaciafork::entry
