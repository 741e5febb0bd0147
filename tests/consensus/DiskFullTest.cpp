#include <doctest/doctest.h>

#include <utility>

#include "Group.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

namespace {

using std::chrono::milliseconds;

/// How disks get full, one after another.
struct DiskFullSettings
{
    std::uint64_t seed = 1;
    std::size_t members = 3;
    /// Number of times that a disk gets full.
    int times = 8;
    FullDisk refused;
    /// Members restart at random, more often while their disk is full.
    bool restarts = false;
    bool lossyLinks = false;
};

GroupSettings groupSettings(const DiskFullSettings &settings)
{
    GroupSettings group { .members = settings.members,
                          .spares = settings.seed % 2,
                          .seed = settings.seed,
                          .folder = { .segmentBytes = 2000 } };
    group.maxWriteDelay = milliseconds(settings.seed % 3 * 10);
    group.node.snapshotEntries = 30;
    group.node.trailingEntries = 10;
    group.node.snapshotChunkBytes = 4000;
    group.node.deferredSnapshotEntries = 5000;
    if (settings.lossyLinks)
        group.link = { .lossRate = 0.05, .repeatRate = 0.03, .lateRate = 0.02 };
    return group;
}

/// Lets the disks of a group get full one after another, never two at once, while a client keeps
/// proposing. Members whose folder is broken are restarted, as their process ends by itself. Now
/// and then, and at the end, all disks have room for long enough to check that the group has
/// recovered.
class DiskFullDay
{
public:
    explicit DiskFullDay(const DiskFullSettings &settings)
        : m_settings(settings)
        , m_group(groupSettings(settings))
    { }

    /// Returns what is wrong once all disks have room again; empty when the group has recovered.
    std::string run()
    {
        if (!m_group.awaitLeader())
            return "no leader at first";
        runFor(milliseconds(500));
        for (int it = 0; it < m_settings.times; ++it) {
            GroupMember *member = next();
            member->disk.setFull(true, m_settings.refused);
            const Duration length = milliseconds(1000 + randomBelow(5000));
            const Duration untilRestart = milliseconds(randomBelow(900));
            if (m_settings.restarts && randomBelow(2) == 0) {
                // The leader may hand over to the member whose disk is full.
                GroupMember *leader = m_group.leader();
                if (leader != nullptr && randomBelow(2) == 0)
                    (void)leader->replica->transferLeadership(leader->clock(), member->id);
                runFor(untilRestart);
                restart(member, milliseconds(100 + randomBelow(800)));
            }
            runFor(length);
            member->disk.setFull(false);
            if (it + 1 == m_settings.times || randomBelow(3) == 0) {
                if (std::string wrong = recover(); !wrong.empty())
                    return wrong;
            } else if (randomBelow(2) == 0) {
                runFor(milliseconds(randomBelow(2000)));
            }
        }
        return {};
    }

private:
    /// Longest time that a member is down.
    static constexpr Duration restartLimit = milliseconds(1000);

    /// Ends all faults for a while; returns what is wrong then.
    std::string recover()
    {
        const LinkSettings links = std::exchange(m_group.link(), LinkSettings {});
        m_isCalm = true;
        runFor(restartLimit);
        std::string wrong = awaitRecovery();
        m_isCalm = false;
        m_group.link() = links;
        return wrong;
    }

    GroupMember *next()
    {
        GroupMember *leader = m_group.leader();
        if (leader != nullptr && randomBelow(3) != 0)
            return leader;
        return &m_group.member(1 + static_cast<std::uint32_t>(randomBelow(m_settings.members)));
    }

    void runFor(Duration length)
    {
        const Timestamp end = m_group.now() + length;
        while (m_group.now() < end)
            step();
    }

    void step()
    {
        m_group.step();
        for (auto &[id, member] : m_group.members()) {
            if (member->running()) {
                const bool isBroken = member->replica->status(member->clock()).broken;
                if (isBroken || (m_settings.restarts && !m_isCalm && randomBelow(8000) == 0))
                    restart(member.get(), milliseconds(20 + randomBelow(200)));
                continue;
            }
            if (m_group.now() < m_startAt[id])
                continue;
            if (!member->start()) {
                member->crash();
                m_startAt[id] = m_group.now() + milliseconds(100);
            }
        }
        if (m_group.now() >= m_nextProposal) {
            m_nextProposal = m_group.now() + milliseconds(4);
            (void)propose();
        }
    }

    void restart(GroupMember *member, Duration after)
    {
        if (!member->running())
            return;
        member->crash();
        m_startAt[member->id] = m_group.now() + after;
    }

    bool propose()
    {
        GroupMember *leader = m_group.leader();
        if (leader == nullptr || !leader->replica->canReadNow(leader->clock()))
            return false;
        ++m_operation;
        return static_cast<bool>(leader->replica->propose(
                leader->clock(), Register::command(m_operation, 0, m_operation)));
    }

    std::string awaitRecovery()
    {
        const NodeSettings &node = m_group.settings().node;
        // A transfer that began before the last disk had room may have to end first, then an
        // election may be needed, whose votes may be split.
        const Duration limit =
                node.diskFullRetryInterval + node.transferTimeout + 5 * node.maxElectionTimeout;
        const Timestamp end = m_group.now() + limit;
        std::string lacking;
        std::uint64_t sentinel = 0;
        while (m_group.now() < end) {
            step();
            if (!m_group.violation().empty())
                return m_group.violation();
            if (sentinel == 0 && propose())
                sentinel = m_operation;
            lacking = sentinel == 0 ? "no change was accepted" : "";
            for (std::uint32_t id = 1; id <= m_settings.members && sentinel != 0; ++id) {
                GroupMember &member = m_group.member(id);
                if (!member.running() || member.state.find(sentinel) == nullptr)
                    lacking = "member " + std::to_string(id) + " lacks the last change";
                else if (member.replica->node().membership().members.size() != m_settings.members
                         || !member.replica->node().membership().isVoter(ProcessId { id }))
                    lacking = "the members of the group changed";
            }
            if (lacking.empty())
                return {};
            // An accepted change may be lost with its leader: the client proposes another.
            if (randomBelow(200) == 0)
                sentinel = 0;
        }
        return describe(lacking);
    }

    std::string describe(std::string text)
    {
        for (auto &[id, member] : m_group.members()) {
            text += "\n  " + std::to_string(id.value);
            if (!member->running()) {
                text += " down";
                continue;
            }
            const ReplicaStatus status = member->replica->status(member->clock());
            text += " " + std::string(roleName(status.node.role)) + " term "
                    + std::to_string(status.node.term) + " leader "
                    + std::to_string(status.node.leader.value) + " commit "
                    + std::to_string(status.node.commit) + " last "
                    + std::to_string(status.node.last) + " durable "
                    + std::to_string(status.node.durable) + " applied "
                    + std::to_string(member->replica->node().appliedIndex()) + " snapshot "
                    + std::to_string(status.node.snapshot)
                    + (member->replica->canReadNow(member->clock()) ? " lease" : "")
                    + (status.full ? " full" : "") + (status.broken ? " broken" : "");
        }
        return text;
    }

    std::uint64_t randomBelow(std::uint64_t most) { return m_group.random()() % most; }

    DiskFullSettings m_settings;
    Group m_group;
    std::map<ProcessId, Timestamp> m_startAt;
    Timestamp m_nextProposal;
    std::uint64_t m_operation = 0;
    bool m_isCalm = false;
};

} // namespace

TEST_CASE("a group recovers once disks that were full one after another have room")
{
    for (std::uint64_t seed = 3; seed <= 6; ++seed) {
        const DiskFullSettings settings {
            .seed = seed,
            .members = seed % 4 == 0 ? 5U : 3U,
            .refused = { .truncate = seed % 3 == 0, .sync = seed % 5 == 0, .names = seed % 6 < 2 },
            .restarts = seed % 2 == 0,
            .lossyLinks = seed % 7 == 0
        };
        CAPTURE(seed);
        CHECK(DiskFullDay(settings).run() == "");
    }
}
