#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "acaciafork/net/HttpTypes.h"

namespace acaciafork::net {

/// What the head of a message says about where its body ends.
struct HttpFraming
{
    std::optional<std::uint64_t> contentLength;
    bool isChunked = false;

    /// True when the end of the body can be told from the end of the connection.
    [[nodiscard]] bool tellsEnd() const { return isChunked || contentLength; }
};

/// Framing by the headers.
HttpFraming framingOf(std::span<const Header> headers);

/// True for the statuses whose answers never have a body.
bool hasNoBody(int status);

/// True for the methods whose requests name a length even when it is zero.
bool takesBody(std::string_view method);

} // namespace acaciafork::net
