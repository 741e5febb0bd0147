#include "acaciafork/net/HttpTypes.h"

#include <algorithm>
#include <array>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace acaciafork::net {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 9> hopHeaders {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length",
};

} // namespace

bool sameHeaderName(std::string_view one, std::string_view other)
{
    return one.size() == other.size()
            && std::equal(one.begin(), one.end(), other.begin(),
                          [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view findHeader(std::span<const Header> headers, std::string_view name)
{
    for (const auto &it : headers) {
        if (sameHeaderName(it.name, name))
            return it.value;
    }
    return {};
}

bool isHopHeader(std::string_view name)
{
    return std::any_of(hopHeaders.begin(), hopHeaders.end(),
                       [name](std::string_view it) { return sameHeaderName(it, name); });
}

std::string failureJson(FailureKind kind, std::string_view detail)
{
    const boost::json::value json = {
        { "error", { { "kind", failureKindName(kind) }, { "detail", detail } } },
    };
    return boost::json::serialize(json);
}

} // namespace acaciafork::net
