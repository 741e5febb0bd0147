#include "acaciafork/net/Address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>

namespace acaciafork::net {

std::string Address::toString() const
{
    const bool isV6 = host.find(':') != std::string::npos;
    const std::string shown = isV6 ? "[" + host + "]" : host;
    return shown + ":" + std::to_string(port);
}

Result<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(FailureKind::InvalidArgument, "address without port: " + std::string(text));

    // Brackets keep the colons of an IPv6 number apart from the one before the port.
    std::string_view host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isNumber = ec == std::errc() && end == digits.data() + digits.size();

    Address address { .host = std::string(host), .port = port };
    sockaddr_storage storage;
    if (!isNumber || toSocketAddress(address, &storage) == 0)
        return fail(FailureKind::InvalidArgument,
                    "not an IP number and port: " + std::string(text));
    return address;
}

std::uint32_t toSocketAddress(const Address &address, sockaddr_storage *storage)
{
    *storage = {};
    auto *v4 = reinterpret_cast<sockaddr_in *>(storage);
    if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        return sizeof(sockaddr_in);
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(storage);
    if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

Address fromSocketAddress(const sockaddr *address)
{
    char buf[INET6_ADDRSTRLEN] = {};
    if (address->sa_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(address);
        inet_ntop(AF_INET, &v4->sin_addr, buf, sizeof(buf));
        return { .host = buf, .port = ntohs(v4->sin_port) };
    }
    const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(address);
    inet_ntop(AF_INET6, &v6->sin6_addr, buf, sizeof(buf));
    return { .host = buf, .port = ntohs(v6->sin6_port) };
}

} // namespace acaciafork::net
