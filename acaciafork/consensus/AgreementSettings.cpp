#include "acaciafork/consensus/AgreementSettings.h"

#include <array>

namespace acaciafork::consensus {

namespace {

constexpr std::int64_t minuteMs = 60'000;
constexpr std::int64_t maxEntries = 10'000'000;
constexpr std::int64_t minLogBytes = 64LL * 1024;
constexpr std::int64_t maxLogBytes = 16LL * 1024 * 1024 * 1024;

using NodeField = SettingField<NodeSettings>;
const std::array nodeFields {
    NodeField { .section = "agreement",
                .key = "election-timeout-least-ms",
                .member = &NodeSettings::minElectionTimeout,
                .least = 50,
                .most = minuteMs,
                .meaning = "Shortest time without a message from the leader before an election." },
    NodeField { .section = "agreement",
                .key = "election-timeout-most-ms",
                .member = &NodeSettings::maxElectionTimeout,
                .least = 100,
                .most = minuteMs,
                .meaning = "Longest time without a message from the leader before an election." },
    NodeField { .section = "agreement",
                .key = "heartbeat-ms",
                .member = &NodeSettings::heartbeatInterval,
                .least = 5,
                .most = minuteMs,
                .meaning = "Interval between heartbeats of the leader." },
    NodeField { .section = "agreement",
                .key = "clock-rate-margin-percent",
                .member = &NodeSettings::clockRateMarginPercent,
                .least = 1,
                .most = 50,
                .meaning = "Maximum difference in rate between two members' clocks." },
    NodeField { .section = "agreement",
                .key = "snapshot-entries",
                .member = &NodeSettings::snapshotEntries,
                .least = 100,
                .most = maxEntries,
                .meaning = "Number of log entries applied between two snapshots." },
    NodeField { .section = "agreement",
                .key = "trailing-entries",
                .member = &NodeSettings::trailingEntries,
                .least = 0,
                .most = maxEntries,
                .meaning = "Log entries covered by a snapshot but kept for members that lag." },
    NodeField { .section = "agreement",
                .key = "log-bytes",
                .member = &NodeSettings::logBytes,
                .least = minLogBytes,
                .most = maxLogBytes,
                .meaning = "Memory of the log entries applied between two snapshots, or the size "
                           "of the last snapshot if it is larger." },
    NodeField { .section = "agreement",
                .key = "trailing-bytes",
                .member = &NodeSettings::trailingBytes,
                .least = 0,
                .most = maxLogBytes,
                .meaning = "Memory of the log entries kept for members that lag." },
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
                       .meaning = "Time without a message after which a member counts as lost." },
    ReplacementField { .section = "replacement",
                       .key = "voters",
                       .member = &ReplacementSettings::voters,
                       .least = 0,
                       .most = 9,
                       .meaning =
                               "Target number of voters, reached by adding spares; 0 adds none." },
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
    // The leader keeps its lease after one lost heartbeat only if several heartbeats fit into it.
    if (settings.heartbeatInterval * 2 >= settings.leaseLength())
        return fail(FailureKind::InvalidArgument,
                    "heartbeat-ms must be below half of the election timeout");
    return {};
}

} // namespace acaciafork::consensus
