#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace acaciafork {

/// Number that identifies one kind of thing; ids of different kinds do not mix.
template <typename Tag, typename Rep = std::uint64_t>
struct NumericId
{
    /// The bare number; 0 means "none" wherever a message field may be absent.
    Rep value = 0;

    constexpr auto operator<=>(const NumericId &) const = default;
    /// True unless the id is the "none" value.
    constexpr explicit operator bool() const { return value != 0; }
};

/// Text that identifies one kind of thing at an interface; names of different kinds do not mix.
template <typename Tag>
struct Name
{
    /// The bare text, as the peer wrote it.
    std::string value;

    auto operator<=>(const Name &) const = default;
    /// View of the bare text.
    [[nodiscard]] std::string_view view() const { return value; }
};

/// Group of instances under one quorum; every durable record carries it.
using CellId = NumericId<struct CellTag, std::uint32_t>;
/// One of the system's own processes, entry or control member, from its settings.
using ProcessId = NumericId<struct ProcessTag, std::uint32_t>;
/// Start of a process or endpoint: grows with each restart.
using Incarnation = NumericId<struct IncarnationTag>;
/// Try of one request at one endpoint; unique over entries and restarts.
using AttemptId = NumericId<struct AttemptTag>;
/// One request of a caller, unique over entries and restarts.
using RequestId = NumericId<struct RequestTag>;
/// Version of the configuration; only grows.
using ConfigVersion = NumericId<struct ConfigVersionTag>;
/// Number of a task lease; a higher epoch of the same task fences the lower ones.
using LeaseEpoch = NumericId<struct LeaseEpochTag>;

/// Latency-critical service that callers address.
using ServiceName = Name<struct ServiceNameTag>;
/// Endpoint that serves one service.
using EndpointName = Name<struct EndpointNameTag>;
/// Worker of the platform.
using WorkerName = Name<struct WorkerNameTag>;
/// Availability zone.
using ZoneName = Name<struct ZoneNameTag>;
/// Rack of workers or endpoints.
using RackName = Name<struct RackNameTag>;
/// Building that racks stand in.
using BuildingName = Name<struct BuildingNameTag>;
/// Team that owns jobs and a quota.
using TeamName = Name<struct TeamNameTag>;
/// Batch job or service task.
using TaskName = Name<struct TaskNameTag>;

} // namespace acaciafork

template <typename Tag, typename Rep>
struct std::hash<acaciafork::NumericId<Tag, Rep>>
{
    std::size_t operator()(const acaciafork::NumericId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>()(id.value);
    }
};

template <typename Tag>
struct std::hash<acaciafork::Name<Tag>>
{
    std::size_t operator()(const acaciafork::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};
