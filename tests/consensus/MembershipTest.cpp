#include <doctest/doctest.h>

#include "FailureText.h"
#include "Group.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Proposes `count` writes, as many per step as are accepted, then runs the group for 500 ms.
void write(Group *group, std::uint64_t from, std::uint64_t count)
{
    for (std::uint64_t it = from; it < from + count;) {
        GroupMember *leader = group->leader();
        if (leader != nullptr
            && leader->replica->propose(leader->clock(), Register::command(it, 0, it)))
            ++it;
        else
            group->step();
    }
    group->run(milliseconds(500));
}

/// Three members and one spare, with automatic replacement after two seconds.
GroupSettings withSpare(std::uint64_t seed)
{
    return { .members = 3,
             .spares = 1,
             .seed = seed,
             .replacement = { .automatic = true, .lostAfter = seconds(2) } };
}

ReplicaStatus leaderStatus(Group *group)
{
    GroupMember *leader = group->leader();
    REQUIRE(leader != nullptr);
    return leader->replica->status(leader->clock());
}

} // namespace

TEST_CASE("a learner becomes a voter after it has caught up by a snapshot in chunks")
{
    GroupSettings settings = withSpare(3);
    settings.node.snapshotEntries = 100;
    settings.node.trailingEntries = 10;
    settings.node.snapshotChunkBytes = 500;
    settings.link.lossRate = 0.05;
    Group group(settings);
    REQUIRE(group.awaitLeader());
    write(&group, 1, 500);
    GroupMember *leader = group.leader();
    REQUIRE(leader->replica->addLearner(leader->clock(), ProcessId { 4 }));
    CHECK(leader->replica->status(leader->clock()).redundancy.faultsTolerated == 1);
    group.run(milliseconds(10));
    CHECK_FALSE(leader->replica->node().membership().isVoter(ProcessId { 4 }));
    group.run(seconds(5));
    CHECK(leaderStatus(&group).node.membership.isVoter(ProcessId { 4 }));
    CHECK(group.member(4).state.version() == 500);
    CHECK(group.member(4).replica->status(group.member(4).clock()).node.snapshot > 0);
    CHECK(group.violation() == "");
}

TEST_CASE("a snapshot fetch resumes after the receiver restarts")
{
    GroupSettings settings = withSpare(3);
    settings.node.snapshotEntries = 100;
    settings.node.trailingEntries = 10;
    settings.node.snapshotChunkBytes = 500;
    Group group(settings);
    REQUIRE(group.awaitLeader());
    write(&group, 1, 1000);
    GroupMember *leader = group.leader();
    REQUIRE(leader->replica->addLearner(leader->clock(), ProcessId { 4 }));
    group.run(milliseconds(100));
    const std::uint64_t whole = leader->replica->status(leader->clock()).snapshotBytes;
    const std::uint64_t sent = group.member(4).disk.bytes("partial-snapshot").size();
    REQUIRE(sent > whole / 10);
    REQUIRE(sent < whole);
    group.member(4).replica.reset();
    group.member(4).folder.reset();
    REQUIRE(group.member(4).start());
    const std::uint64_t before = group.bytesSent();
    group.run(seconds(3));
    CHECK(group.member(4).state.version() == 1000);
    // A fetch from the start would send more than the whole snapshot again.
    const std::uint64_t heartbeats = 3000ULL / 60 * 4 * 2 * 60;
    CHECK(group.bytesSent() - before < whole - sent + whole / 4 + heartbeats);
    CHECK(group.violation() == "");
}

TEST_CASE("a lost member is replaced by a spare, and a second loss after that loses no data")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Group group(withSpare(seed));
        REQUIRE(group.awaitLeader());
        write(&group, 1, 100);
        GroupMember *leader = group.leader();
        const ProcessId lost { leader->id.value % 3 + 1 };
        group.member(lost.value).crash();
        group.member(lost.value).disk.wipe();
        group.run(seconds(1));
        CHECK(leaderStatus(&group).redundancy.faultsTolerated == 0);
        group.run(seconds(4));
        const ReplicaStatus status = leaderStatus(&group);
        CHECK(status.node.membership.isRetired(lost));
        CHECK(status.node.membership.isVoter(ProcessId { 4 }));
        CHECK(status.redundancy.faultsTolerated == 1);

        // After the replacement the leader is lost with its disk.
        leader = group.leader();
        leader->crash();
        leader->disk.wipe();
        REQUIRE(group.awaitLeader());
        CHECK(group.leader()->state.version() == 100);
        write(&group, 101, 10);
        CHECK(group.leader()->state.version() == 110);
        CHECK(group.violation() == "");
    }
}

TEST_CASE("a member that lost its folder is ignored under its old id")
{
    Group group({ .members = 3, .seed = 5 });
    REQUIRE(group.awaitLeader());
    write(&group, 1, 20);
    GroupMember *leader = group.leader();
    GroupMember &wiped = group.member(leader->id.value % 3 + 1);
    GroupMember &third = group.member(wiped.id.value % 3 + 1);
    wiped.crash();
    wiped.disk.wipe();
    REQUIRE(wiped.start());
    group.run(seconds(2));
    CHECK(wiped.replica->node().standing() == Standing::Displaced);
    CHECK(leaderStatus(&group).redundancy.faultsTolerated == 0);

    // The wiped member must not form a majority with the leader, because it has lost the entries
    // that it had acknowledged.
    third.crash();
    group.run(seconds(3));
    CHECK(group.leader() == nullptr);
    CHECK(resultOf([&] { return leader->replica->addLearner(leader->clock(), wiped.id); }).kind
          == FailureKind::NotReady);
    REQUIRE(third.start());
    REQUIRE(group.awaitLeader());
    leader = group.leader();
    CHECK(resultOf([&] { return leader->replica->addLearner(leader->clock(), wiped.id); }).kind
          == FailureKind::Conflict);
    CHECK(leader->state.version() == 20);
    CHECK(group.violation() == "");
}

TEST_CASE("the leader removes itself and the group continues immediately")
{
    Group group({ .members = 3, .seed = 6 });
    REQUIRE(group.awaitLeader());
    write(&group, 1, 10);
    GroupMember *old = group.leader();
    REQUIRE(old->replica->removeMember(old->clock(), old->id));
    group.run(milliseconds(200));
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader() != old);
    CHECK(leaderStatus(&group).node.membership.members.size() == 2);
    write(&group, 11, 10);
    CHECK(group.leader()->state.version() == 20);
    CHECK(old->replica->status(old->clock()).node.membership.find(old->id) == nullptr);
    CHECK(group.violation() == "");
}

TEST_CASE("membership changes one at a time, and ids are never reused")
{
    Group group({ .members = 3, .spares = 2, .seed = 7 });
    REQUIRE(group.awaitLeader());
    group.run(seconds(1));
    GroupMember *leader = group.leader();
    const ProcessId other { leader->id.value % 3 + 1 };
    REQUIRE(leader->replica->removeMember(leader->clock(), other));
    CHECK(resultOf([&] {
              return leader->replica->addLearner(leader->clock(), ProcessId { 4 });
          }).kind
          == FailureKind::NotReady);
    group.run(milliseconds(200));
    CHECK(resultOf([&] { return leader->replica->addLearner(leader->clock(), other); }).kind
          == FailureKind::Conflict);
    CHECK(leader->replica->addLearner(leader->clock(), ProcessId { 4 }));
    group.run(seconds(1));
    CHECK(leaderStatus(&group).node.membership.isVoter(ProcessId { 4 }));
    CHECK(group.violation() == "");
}

TEST_CASE("a silent learner is removed to make room for the next spare")
{
    ReplacementPolicy policy({ .lostAfter = seconds(2), .maxSpareAge = seconds(2) });
    NodeStatus status;
    status.role = Role::Leader;
    const Timestamp start = timestampFromMicroseconds(0);
    const auto member = [](std::uint32_t id, const char *zone, bool voter) {
        return Member { ProcessId { id }, ZoneName { zone }, voter, FolderId { id }, {} };
    };
    status.membership.members = { member(1, "a", true), member(2, "b", true),
                                  member(3, "c", true) };
    for (const Member &it : status.membership.members)
        status.members.push_back({ .member = it, .match = 9, .live = it.id != ProcessId { 3 } });
    status.spares = { { ProcessId { 4 }, ZoneName { "a" }, FolderId { 4 }, start },
                      { ProcessId { 5 }, ZoneName { "c" }, FolderId { 5 }, start } };

    CHECK_FALSE(policy.decide(start, status));
    CHECK_FALSE(policy.decide(start + milliseconds(1999), status));
    // Prefers the spare in the lost member's zone.
    CHECK(policy.decide(start + seconds(2), status)
          == ReplacementCommand { ProcessId { 3 }, ProcessId { 5 } });
    CHECK_FALSE(policy.decide(start + seconds(5), status));

    Member learner = member(5, "c", false);
    learner.replaces = ProcessId { 3 };
    status.membership.members.push_back(learner);
    status.members.push_back({ .member = learner, .match = 0, .live = false });
    CHECK_FALSE(policy.decide(start + seconds(6), status));
    CHECK(policy.decide(start + seconds(8), status)
          == ReplacementCommand { ProcessId { 5 }, ProcessId {} });
}

TEST_CASE("the member that has been silent longest is replaced, but none that still sends messages")
{
    // Regression test: a member with a full disk was replaced instead of one that was gone. The
    // loss of two disks then cost the majority.
    ReplacementPolicy policy({ .lostAfter = milliseconds(1500), .maxSpareAge = seconds(2) });
    NodeStatus status;
    status.role = Role::Leader;
    const Timestamp start = timestampFromMicroseconds(0);
    for (std::uint32_t id = 1; id <= 5; ++id) {
        const Member member { ProcessId { id }, ZoneName { "a" }, true, FolderId { id }, {} };
        status.membership.members.push_back(member);
        status.members.push_back({ .member = member, .live = true });
    }
    status.members[4].live = false;
    CHECK_FALSE(policy.decide(start, status));
    status.members[0].live = false;
    CHECK_FALSE(policy.decide(start + milliseconds(1000), status));
    const Timestamp late = start + milliseconds(2600);
    status.spares = { { ProcessId { 9 }, ZoneName { "a" }, FolderId { 9 }, late } };
    CHECK(policy.decide(late, status) == ReplacementCommand { ProcessId { 5 }, ProcessId { 9 } });

    // Any message from a member keeps it in the group, even while it can't take part.
    policy.markAlive(ProcessId { 5 });
    CHECK(policy.decide(late, status) == ReplacementCommand { ProcessId { 1 }, ProcessId { 9 } });
    policy.markAlive(ProcessId { 1 });
    CHECK_FALSE(policy.decide(late, status));
}

TEST_CASE("spares fill the group up to the target number of voters")
{
    ReplacementPolicy policy({ .voters = 3, .maxSpareAge = seconds(2) });
    NodeStatus status;
    status.role = Role::Leader;
    const Timestamp now = timestampFromMicroseconds(0);
    const auto add = [&](std::uint32_t id) {
        const Member member { ProcessId { id }, ZoneName { "a" }, true, FolderId { id }, {} };
        status.membership.members.push_back(member);
        status.members.push_back({ .member = member, .live = true });
    };
    add(1);
    status.spares = { { ProcessId { 2 }, ZoneName { "a" }, FolderId { 2 }, now },
                      { ProcessId { 3 }, ZoneName { "b" }, FolderId { 3 }, now } };
    CHECK(policy.decide(now, status) == ReplacementCommand { {}, ProcessId { 3 } });
    add(3);
    CHECK(policy.decide(now, status) == ReplacementCommand { {}, ProcessId { 2 } });
    add(2);
    CHECK_FALSE(policy.decide(now, status));
}

TEST_CASE("redundancy counts only live and synced voters, by zone")
{
    Group group({ .members = 5, .seed = 8 });
    REQUIRE(group.awaitLeader());
    group.run(seconds(1));
    Redundancy now = leaderStatus(&group).redundancy;
    CHECK(now.faultsTolerated == 2);
    CHECK(now.survivesZoneLoss);
    CHECK(now.syncedVoters.size() == 3);
    const ProcessId leader = group.leader()->id;
    for (std::uint32_t it = 1; it <= 2; ++it) {
        group.member((leader.value + it - 1) % 5 + 1).crash();
        group.run(seconds(1));
        now = leaderStatus(&group).redundancy;
        CHECK(now.faultsTolerated == 2 - it);
    }
    CHECK_FALSE(now.survivesZoneLoss);
}
