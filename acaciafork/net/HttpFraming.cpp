#include "acaciafork/net/HttpFraming.h"

#include <charconv>

namespace acaciafork::net {

HttpFraming framingOf(std::span<const Header> headers)
{
    HttpFraming framing;
    const std::string_view length = findHeader(headers, "content-length");
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(length.data(), length.data() + length.size(), n);
    if (!length.empty() && ec == std::errc() && end == length.data() + length.size())
        framing.contentLength = n;
    framing.isChunked = sameHeaderName(findHeader(headers, "transfer-encoding"), "chunked");
    return framing;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304 || status < 200;
}

bool takesBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace acaciafork::net
