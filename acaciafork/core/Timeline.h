#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/HybridClock.h"
#include "acaciafork/core/Ids.h"

namespace acaciafork {

/// What happened: one value for each change of state that the time line shows.
enum class EventKind : std::uint8_t {
    ProcessStarted,
    ProcessDraining,
    ProcessStopped,
    LeaderElected,
    LeaderLost,
    MemberAdded,
    MemberRemoved,
    ConfigAccepted,
    ConfigInForce,
    EntryJoined,
    EntryLost,
    EndpointJoined,
    EndpointLeaving,
    EndpointEjected,
    EndpointRestored,
    EndpointForgotten,
    CreditQuarantined,
    CreditReleased,
    WorkerJoined,
    WorkerLost,
    WorkerQuarantined,
    JobQueued,
    JobLeased,
    JobStarted,
    JobCheckpointed,
    JobEvicted,
    JobResumed,
    JobFinished,
    JobFailed,
    JobCancelled,
    JobUnschedulable,
    RackDraining,
    RackDrained,
    RackRetired,
    RackRestored,
    MoveStarted,
    MovePaused,
    MoveFinished,
    ZoneClosed,
    ZoneOpened,
};

/// Stable lower-case name of a kind, such as "leader-elected".
std::string_view eventKindName(EventKind kind);

/// One entry of the time line.
struct Event
{
    HybridTime time;
    ProcessId process;
    EventKind kind = EventKind::ProcessStarted;
    /// What it happened to: an endpoint, job, rack, version; empty for the process itself.
    std::string subject;
    /// Further typed detail as `key=value` words; may be empty.
    std::string detail;
};

/// Bounded ring of the latest events of one process.
class Timeline
{
public:
    /// @param[in] process the process that records
    /// @param[in] capacity most events kept; the oldest goes first
    Timeline(ProcessId process, std::size_t capacity);

    /// Records an event at the wall-clock time given.
    void record(std::int64_t wallMicroseconds, EventKind kind, std::string subject,
                std::string detail = {});

    /// The clock that stamps events and outgoing messages.
    HybridClock &clock() { return m_clock; }

    /// The events kept, oldest first.
    [[nodiscard]] std::vector<Event> events() const;

    /// How many events were dropped because the ring was full.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    ProcessId m_process;
    std::size_t m_capacity;
    std::size_t m_first = 0;
    std::uint64_t m_dropped = 0;
    std::vector<Event> m_ring;
    HybridClock m_clock;
};

} // namespace acaciafork
