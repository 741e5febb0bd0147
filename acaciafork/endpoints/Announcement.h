#pragma once

#include <cstdint>
#include <string_view>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/net/Address.h"

namespace acaciafork::endpoints {

/// What an endpoint says that it is doing.
enum class EndpointState : std::uint8_t {
    Ready, ///< takes work
    Leaving, ///< finishes what it has and takes no more
};

/// One announcement: `PUT /acaciafork/v1/endpoints/<id>`, repeated every second.
struct Announcement
{
    EndpointName endpoint;
    ServiceName service;
    net::Address address;
    /// Grows with each start of the endpoint.
    Incarnation incarnation;
    /// Grows with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    ZoneName zone;
    RackName rack;
    /// Requests that it has room for at one time.
    std::uint32_t slots = 0;
    /// Connections that it has room for at one time.
    std::uint32_t connections = 0;
    /// Requests that it is working on.
    std::uint32_t inProgress = 0;
    EndpointState state = EndpointState::Ready;
};

/// Decodes the body of an announcement.
/// @param[in] endpoint the id in the path
/// Fails with Failure InvalidArgument that names the field at fault.
Result<Announcement> decodeAnnouncement(std::string_view endpoint, std::string_view json);

/// Encodes an announcement as its body, for endpoints that use this library.
std::string encodeAnnouncement(const Announcement &announcement);

} // namespace acaciafork::endpoints
