#pragma once

#include <map>
#include <optional>

#include "acaciafork/consensus/NodeStatus.h"

namespace acaciafork::consensus {

/// Settings for the replacement of lost members.
struct ReplacementSettings
{
    /// When false, members are replaced only by operators.
    bool automatic = true;
    /// Time without an answer after which a member is replaced; longer than a process restart.
    Duration lostAfter = std::chrono::seconds(60);
    /// Target number of voters, reached by adding spares; 0 adds none.
    std::int64_t voters = 0;
    /// Maximum time since the last Hello of a spare.
    Duration maxSpareAge = std::chrono::seconds(2);
};

/// Membership change requested by the policy.
struct ReplacementCommand
{
    /// Lost member; 0 when a spare joins without replacing one.
    ProcessId lost;
    /// Spare that joins; 0 when the lost member is a learner, which is only removed.
    ProcessId spare;

    bool operator==(const ReplacementCommand &) const = default;
};

/// Decides when a lost member is replaced by a spare with a disk of its own. The node makes the
/// spare a voter once it has caught up and synced, and removes the lost member only after that.
class ReplacementPolicy
{
public:
    explicit ReplacementPolicy(const ReplacementSettings &settings = {})
        : m_settings(settings)
    { }

    /// Records any message from a member's process. The member is then not lost, even if it can't
    /// take part in the group, for example while its disk is full.
    void markAlive(ProcessId member) { m_silentSince.erase(member); }

    /// Returns the change to make now, if any.
    /// @param[in] status of this node; nothing is requested unless it is the leader
    std::optional<ReplacementCommand> decide(Timestamp now, const NodeStatus &status);

private:
    /// @param[in] lost member to replace; null when a spare fills up the group
    [[nodiscard]] ProcessId chooseSpare(Timestamp now, const NodeStatus &status,
                                        const Member *lost) const;

    ReplacementSettings m_settings;
    /// Time at which each silent member was first seen as silent.
    std::map<ProcessId, Timestamp> m_silentSince;
};

} // namespace acaciafork::consensus
