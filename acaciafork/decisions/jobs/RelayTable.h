#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::jobs {

/// Settings of the choice of relays.
struct RelaySettings
{
    /// Orders go through relays from this number of workers on; zero never uses any. Below it, the
    /// leader's own connections cost less than the extra hop.
    std::size_t fromWorkers = 256;
    /// A member that has answered nothing for longer carries no orders.
    Duration maxSilence = std::chrono::milliseconds(700);
};

/// A control member that can carry orders for the leader.
struct RelayCandidate
{
    ProcessId process;
    std::string zone;
    /// When it last answered the leader.
    Timestamp answeredAt;
};

/// Chooses the control member that carries the orders for a worker: one in the worker's zone, or
/// any when none is there. The choice is the same until the members that answer change, so that
/// connections to workers last.
///
/// Answers the load of a fleet whose workers are too many for the connections and the processor
/// time of the leader alone.
class RelayTable
{
public:
    /// @param[in] self the leader, which carries orders as well
    RelayTable(const RelaySettings &settings, ProcessId self, std::string zone);

    /// True when that many workers are served by more than the leader.
    [[nodiscard]] bool isInUse(std::size_t workers) const;
    /// Takes over which members there are, and how many workers.
    void update(Timestamp now, std::span<const RelayCandidate> candidates, std::size_t workers);

    /// Member that carries the orders for a worker; may be the leader.
    [[nodiscard]] ProcessId relayOf(std::string_view zone, std::string_view worker) const;

    /// True when the member may carry orders.
    [[nodiscard]] bool isLive(ProcessId process) const;
    /// Members that carry orders; the leader alone when relays are not in use.
    [[nodiscard]] std::size_t size() const { return m_members.size(); }

private:
    struct Member
    {
        ProcessId process;
        std::string zone;

        bool operator==(const Member &) const = default;
    };

    RelaySettings m_settings;
    Member m_self;
    bool m_isInUse = false;
    std::vector<Member> m_members;
};

} // namespace acaciafork::jobs
