#pragma once

#include <map>
#include <optional>

#include "acaciafork/consensus/NodeStatus.h"

namespace acaciafork::consensus {

/// When a silent member counts as lost.
struct ReplacementSettings
{
    /// False leaves replacement to the operators.
    bool automatic = true;
    /// Silence after which a member is replaced; longer than a restart of a process takes.
    Duration lostAfter = std::chrono::seconds(60);
    /// Voters that the group should have: spares fill it up to this number; 0 leaves its size
    /// alone.
    std::int64_t voters = 0;
    /// How recently a spare must have shown itself.
    Duration maxSpareAge = std::chrono::seconds(2);
};

/// Change of membership that the policy asks for.
struct ReplacementCommand
{
    /// Member that takes part no more.
    ProcessId lost;
    /// Spare that joins in its place; none when the lost member, a learner, is only taken out.
    ProcessId spare;

    bool operator==(const ReplacementCommand &) const = default;
};

/// Decides when a lost member is replaced by a spare that has a disk. The node promotes the spare
/// once it is caught up and synced, and only then takes the lost member out.
class ReplacementPolicy
{
public:
    explicit ReplacementPolicy(const ReplacementSettings &settings = {})
        : m_settings(settings)
    { }

    /// A member's process has spoken, in whatever way: it is not lost, though it may not take part,
    /// as while its disk has no room.
    void markAlive(ProcessId member) { m_silentSince.erase(member); }

    /// The change to make now, if any.
    /// @param[in] status of the leader; that of another member asks for nothing
    std::optional<ReplacementCommand> decide(Timestamp now, const NodeStatus &status);

private:
    /// @param[in] lost member whose place is to be taken; null for a place that is free
    [[nodiscard]] ProcessId chooseSpare(Timestamp now, const NodeStatus &status,
                                        const Member *lost) const;

    ReplacementSettings m_settings;
    /// Since when members have been silent.
    std::map<ProcessId, Timestamp> m_silentSince;
};

} // namespace acaciafork::consensus
