#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "acaciafork/core/Failure.h"

struct sockaddr;
struct sockaddr_storage;

namespace acaciafork::net {

/// IP number and TCP port.
struct Address
{
    /// IPv4 or IPv6 number, without brackets.
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
    /// `host:port`, an IPv6 number in brackets.
    [[nodiscard]] std::string toString() const;
};

/// Parses `host:port`. Fails with Failure InvalidArgument when the host is no IP number.
Result<Address> parseAddress(std::string_view text);

/// Fills the socket address; returns its length, or 0 when the host is no IP number.
std::uint32_t toSocketAddress(const Address &address, sockaddr_storage *storage);

/// Address of a socket address.
Address fromSocketAddress(const sockaddr *address);

} // namespace acaciafork::net

template <>
struct std::hash<acaciafork::net::Address>
{
    std::size_t operator()(const acaciafork::net::Address &address) const noexcept
    {
        return std::hash<std::string>()(address.host) * 31 + address.port;
    }
};
