#include "acaciafork/endpoints/Announcement.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "acaciafork/net/JsonReader.h"

namespace acaciafork::endpoints {

namespace {

constexpr std::int64_t mostSlots = 1'000'000;
constexpr std::size_t mostNameBytes = 256;

} // namespace

Result<Announcement> decodeAnnouncement(std::string_view endpoint, std::string_view json)
{
    if (endpoint.empty() || endpoint.size() > mostNameBytes)
        return fail(FailureKind::InvalidArgument, "endpoint id: allowed is 1 to 256 bytes");
    BOOST_LEAF_AUTO(object, net::parseJsonObject(json));
    net::JsonReader reader(object);
    Announcement it;
    it.endpoint = { std::string(endpoint) };
    it.service = { reader.text("service") };
    it.address = reader.address("address");
    it.incarnation = { static_cast<std::uint64_t>(reader.number("incarnation", 1, INT64_MAX)) };
    it.sequence = static_cast<std::uint64_t>(reader.number("sequence", 0, INT64_MAX));
    it.zone = { reader.text("zone") };
    it.rack = { reader.text("rack") };
    it.slots = static_cast<std::uint32_t>(reader.number("slots", 1, mostSlots));
    it.connections = static_cast<std::uint32_t>(reader.number("connections", 1, mostSlots));
    it.inProgress = static_cast<std::uint32_t>(reader.number("inProgress", 0, mostSlots));
    it.state = reader.choice("state", { "ready", "leaving" }) == 0 ? EndpointState::Ready
                                                                   : EndpointState::Leaving;
    if (auto ok = reader.check(); !ok)
        return ok.error();
    return it;
}

std::string encodeAnnouncement(const Announcement &announcement)
{
    const boost::json::object object {
        { "service", announcement.service.value },
        { "address", announcement.address.toString() },
        { "incarnation", announcement.incarnation.value },
        { "sequence", announcement.sequence },
        { "zone", announcement.zone.value },
        { "rack", announcement.rack.value },
        { "slots", announcement.slots },
        { "connections", announcement.connections },
        { "inProgress", announcement.inProgress },
        { "state", announcement.state == EndpointState::Ready ? "ready" : "leaving" },
    };
    return boost::json::serialize(object);
}

} // namespace acaciafork::endpoints
