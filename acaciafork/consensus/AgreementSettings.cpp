#include "acaciafork/consensus/AgreementSettings.h"

#include <array>

namespace acaciafork::consensus {

namespace {

constexpr std::int64_t minuteMs = 60'000;
constexpr std::int64_t maxEntries = 10'000'000;

using NodeField = SettingField<NodeSettings>;
const std::array nodeFields {
    NodeField { .section = "agreement",
                .key = "election-timeout-least-ms",
                .member = &NodeSettings::minElectionTimeout,
                .least = 50,
                .most = minuteMs,
                .meaning = "Shortest silence of the leader before an election." },
    NodeField { .section = "agreement",
                .key = "election-timeout-most-ms",
                .member = &NodeSettings::maxElectionTimeout,
                .least = 100,
                .most = minuteMs,
                .meaning = "Longest silence of the leader before an election." },
    NodeField { .section = "agreement",
                .key = "heartbeat-ms",
                .member = &NodeSettings::heartbeatInterval,
                .least = 5,
                .most = minuteMs,
                .meaning = "Pause between two heartbeats of the leader." },
    NodeField { .section = "agreement",
                .key = "clock-rate-margin-percent",
                .member = &NodeSettings::clockRateMarginPercent,
                .least = 1,
                .most = 50,
                .meaning = "Most that two members' clocks differ in rate." },
    NodeField { .section = "agreement",
                .key = "snapshot-entries",
                .member = &NodeSettings::snapshotEntries,
                .least = 100,
                .most = maxEntries,
                .meaning = "Changes after which a snapshot is stored." },
    NodeField { .section = "agreement",
                .key = "trailing-entries",
                .member = &NodeSettings::trailingEntries,
                .least = 0,
                .most = maxEntries,
                .meaning = "Changes kept behind a snapshot for members that lag." },
    NodeField { .section = "agreement",
                .key = "snapshot-from-follower",
                .member = &NodeSettings::snapshotFromFollower,
                .meaning = "A learner fetches its snapshot from a follower, not the leader." },
};

using ReplacementField = SettingField<ReplacementSettings>;
const std::array replacementFields {
    ReplacementField { .section = "replacement",
                       .key = "automatic",
                       .member = &ReplacementSettings::automatic,
                       .meaning = "A lost member is replaced by a spare without an operator." },
    ReplacementField { .section = "replacement",
                       .key = "lost-after-ms",
                       .member = &ReplacementSettings::lostAfter,
                       .least = 1000,
                       .most = 60 * minuteMs,
                       .meaning = "Silence after which a member counts as lost." },
    ReplacementField { .section = "replacement",
                       .key = "voters",
                       .member = &ReplacementSettings::voters,
                       .least = 0,
                       .most = 9,
                       .meaning = "Voters that spares fill the group up to; 0 leaves it alone." },
};

} // namespace

std::span<const SettingField<NodeSettings>> nodeSettingFields()
{
    return nodeFields;
}

std::span<const SettingField<ReplacementSettings>> replacementSettingFields()
{
    return replacementFields;
}

Result<void> checkNodeSettings(const NodeSettings &settings)
{
    if (settings.maxElectionTimeout <= settings.minElectionTimeout)
        return fail(FailureKind::InvalidArgument,
                    "election-timeout-most-ms must exceed election-timeout-least-ms");
    // The lease outlives a lost heartbeat only if several fit into it.
    if (settings.heartbeatInterval * 2 >= settings.leaseLength())
        return fail(FailureKind::InvalidArgument,
                    "heartbeat-ms must be below half of the election timeout");
    return {};
}

} // namespace acaciafork::consensus
