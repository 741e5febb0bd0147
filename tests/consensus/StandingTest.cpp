#include <doctest/doctest.h>

#include <algorithm>

#include "FailureText.h"
#include "Group.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

// Guards against a healthy process that is idle outside the group, and against a folder that is
// emptied on a membership that an election may still undo (docs/incidents/review-6-idle-member.md).

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A live process that is no voter would be missing within this time of the last fault: the silence
/// after which a member is replaced, and catching up.
constexpr Duration recoveryBound = milliseconds(1500) + seconds(4);

GroupSettings fiveVoters(std::uint64_t seed)
{
    return { .members = 5,
             .seed = seed,
             .replacement = { .automatic = true, .lostAfter = milliseconds(1500), .voters = 5 },
             .rejoins = true };
}

std::size_t liveVoters(Group *group)
{
    GroupMember *leader = group->leader();
    if (leader == nullptr)
        return 0;
    const NodeStatus status = leader->replica->status(leader->clock()).node;
    return static_cast<std::size_t>(std::ranges::count_if(
            status.members, [](const MemberStatus &it) { return it.member.voter && it.live; }));
}

/// Steps until the group has `count` live voters and no other; returns false after the bound.
bool regainsVoters(Group *group, std::size_t count)
{
    const Timestamp end = group->now() + recoveryBound;
    while (group->now() < end) {
        group->step();
        GroupMember *leader = group->leader();
        if (liveVoters(group) == count
            && leader->replica->node().membership().members.size() == count)
            return true;
    }
    return false;
}

bool write(Group *group, std::uint64_t id)
{
    GroupMember *leader = group->leader();
    return leader != nullptr
            && leader->replica->propose(leader->clock(), Register::command(id, 0, id));
}

/// How the replaced member is away.
enum class Absence { Frozen, Down, LeaderFrozen };

/// A member is away for `length` while another is lost for good and an empty process arrives.
/// Returns what is wrong, or an empty text.
std::string replaceAbsentMember(std::uint64_t seed, Absence absence, Duration length)
{
    Group group(fiveVoters(seed));
    if (!group.awaitLeader())
        return "no leader";
    group.run(seconds(1));
    const ProcessId leader = group.leader()->id;
    const ProcessId first { leader.value % 5 + 1 };
    const ProcessId lost { first.value % 5 + 1 };
    const ProcessId away = absence == Absence::LeaderFrozen ? leader : first;
    const Timestamp back = group.now() + length;
    if (absence == Absence::Down)
        group.member(away.value).crash();
    else
        group.freeze(away, length);
    group.run(milliseconds(1800));
    group.member(lost.value).crash();
    group.member(lost.value).disk.wipe();
    group.run(seconds(1));
    group.addProcess();
    while (group.now() < back)
        group.step();
    if (absence == Absence::Down && !group.member(away.value).start())
        return "the member did not start again";
    if (!regainsVoters(&group, 5))
        return std::to_string(liveVoters(&group)) + " live voters";

    // Now two lost disks must be borne.
    write(&group, 1);
    group.run(milliseconds(300));
    const ProcessId next = group.leader()->id;
    std::size_t wiped = 0;
    for (auto &[id, member] : group.members()) {
        const bool isLast = group.leader() == nullptr || id == group.members().rbegin()->first;
        if (!member->running() || (id != next && !isLast) || wiped == 2)
            continue;
        member->crash();
        member->disk.wipe();
        ++wiped;
    }
    if (!group.awaitLeader(seconds(5)))
        return "no leader after two lost disks";
    if (group.leader()->state.version() != 1)
        return "an acknowledged write is lost";
    return group.violation();
}

/// Number of absences that end badly, over lengths around the time for which a removed member still
/// gets the log.
int failedReplacements(Absence absence, std::uint64_t seeds)
{
    int failed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (Duration length = milliseconds(2900); length <= seconds(8);
             length += milliseconds(300)) {
            const std::string wrong = replaceAbsentMember(seed, absence, length);
            if (wrong.empty())
                continue;
            if (failed++ == 0)
                MESSAGE("seed " << seed << ", away for " << length.count() / 1000
                                << " ms: " << wrong);
        }
    }
    return failed;
}

} // namespace

TEST_CASE("a member that is replaced while it stands still joins again")
{
    CHECK(failedReplacements(Absence::Frozen, 6) == 0);
}

TEST_CASE("a member that is replaced while it is down joins again")
{
    CHECK(failedReplacements(Absence::Down, 6) == 0);
}

TEST_CASE("a leader that is replaced while it stands still joins again")
{
    CHECK(failedReplacements(Absence::LeaderFrozen, 6) == 0);
}

TEST_CASE("a learner that is removed while it stands still joins again")
{
    for (const Duration length : { milliseconds(2000), milliseconds(4500), milliseconds(8000) }) {
        GroupSettings settings = fiveVoters(3);
        settings.node.promoteLag = 0;
        settings.link.minDelay = milliseconds(5);
        settings.link.maxDelay = milliseconds(8);
        Group group(settings);
        REQUIRE(group.awaitLeader());
        group.run(seconds(1));
        const ProcessId lost { group.leader()->id.value % 5 + 1 };
        group.member(lost.value).crash();
        group.member(lost.value).disk.wipe();
        GroupMember &learner = group.addProcess();
        // A learner that lags behind steady writes is not promoted.
        const Timestamp limit = group.now() + seconds(4);
        for (std::uint64_t it = 1;
             learner.replica->node().standing() != Standing::Learner && group.now() < limit; ++it) {
            write(&group, it);
            group.step();
        }
        REQUIRE(learner.replica->node().standing() == Standing::Learner);
        group.freeze(learner.id, length);
        group.run(length);
        CHECK(regainsVoters(&group, 5));
        CHECK(group.violation() == "");
    }
}

TEST_CASE("a spare whose admission was undone by an election joins again")
{
    GroupSettings settings = fiveVoters(5);
    settings.spares = 1;
    Group group(settings);
    REQUIRE(group.awaitLeader());
    group.run(seconds(1));
    GroupMember *old = group.leader();
    const ProcessId spare { 6 };
    // The leader reaches nobody but the spare, so that the entry that admits it is not committed.
    for (std::uint32_t it = 1; it <= 5; ++it) {
        group.cut(old->id, ProcessId { it });
        group.cut(ProcessId { it }, old->id);
    }
    REQUIRE(old->replica->addLearner(old->clock(), spare));
    group.run(milliseconds(200));
    REQUIRE(group.member(6).replica->node().standing() == Standing::Learner);
    old->crash();
    group.heal();
    REQUIRE(group.awaitLeader());
    group.run(seconds(2));
    CHECK(regainsVoters(&group, 5));
    CHECK(group.leader()->replica->node().membership().isVoter(spare));
    CHECK(group.violation() == "");
}

TEST_CASE("a member whose removal is not committed isn't displaced")
{
    GroupSettings settings = fiveVoters(7);
    settings.replacement.automatic = false;
    settings.rejoins = false;
    Group group(settings);
    REQUIRE(group.awaitLeader());
    group.run(seconds(1));
    GroupMember *old = group.leader();
    const ProcessId removed { old->id.value % 5 + 1 };
    group.isolate(old->id);
    group.isolate(removed);
    group.run(milliseconds(100));
    REQUIRE(old->replica->removeMember(old->clock(), removed));
    // The member asks the leader that has appended its removal, and gets the entry from it.
    group.heal();
    for (std::uint32_t it = 1; it <= 5; ++it) {
        if (ProcessId { it } == old->id || ProcessId { it } == removed)
            continue;
        for (const ProcessId one : { old->id, removed }) {
            group.cut(one, ProcessId { it });
            group.cut(ProcessId { it }, one);
        }
    }
    group.run(seconds(4));
    CHECK(group.member(removed.value).replica->node().standing() != Standing::Displaced);
    old->crash();
    group.heal();
    REQUIRE(group.awaitLeader());
    group.run(seconds(2));
    CHECK(group.member(removed.value).replica->node().standing() == Standing::Voter);
    CHECK(group.leader()->replica->node().membership().isVoter(removed));
    CHECK(group.violation() == "");
}

TEST_CASE("a process that is wiped does not found a second group beside members without a leader")
{
    GroupSettings settings { .members = 3, .seed = 9 };
    Group group(settings);
    REQUIRE(group.awaitLeader());
    group.run(seconds(1));
    GroupMember &founder = group.member(1);
    founder.crash();
    founder.disk.wipe();
    // The two others can't elect a leader, so they send Hellos.
    group.cut(ProcessId { 2 }, ProcessId { 3 });
    group.cut(ProcessId { 3 }, ProcessId { 2 });
    group.run(seconds(3));
    group.cut(ProcessId { 1 }, ProcessId { 2 });
    group.cut(ProcessId { 1 }, ProcessId { 3 });
    REQUIRE(founder.start());
    group.run(seconds(2));
    CHECK(founder.replica->node().lastIndex() == 0);
    group.heal();
    group.run(seconds(2));
    CHECK(founder.replica->node().lastIndex() == 0);
    CHECK(founder.replica->node().standing() == Standing::Displaced);
    CHECK(group.violation() == "");
}

TEST_CASE("a folder whose emptying was cut off at any sync can be opened again")
{
    int cutOff = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (std::uint64_t sync = 1; sync <= 6; ++sync) {
            MemoryDisk disk(seed);
            const auto open = [&](ProcessId member) {
                MemoryFolder files(&disk);
                return resultOf([&]() -> Result<void> {
                    BOOST_LEAF_CHECK(finishDiscard(&files));
                    const FolderOwner owner { .cluster = "test",
                                              .member = member,
                                              .newFolder = FolderId { member.value } };
                    BOOST_LEAF_AUTO(folder,
                                    LogFolder::open(&files, owner, { .segmentBytes = 200 }));
                    for (LogIndex it = 1; it <= 20 && member.value == 1; ++it) {
                        const std::array entries { Entry {
                                .index = it,
                                .term = 1,
                                .kind = EntryKind::Command,
                                .payload = std::make_shared<const std::string>(40, 'x') } };
                        BOOST_LEAF_CHECK(
                                folder->write(HardState { .term = 1, .vote = {} }, entries));
                    }
                    return {};
                });
            };
            REQUIRE(open(ProcessId { 1 }).done);
            disk.crashAtSync(sync);
            bool isEmptied = false;
            {
                MemoryFolder files(&disk);
                isEmptied = resultOf([&]() -> Result<void> {
                                BOOST_LEAF_CHECK(beginDiscard(&files));
                                return finishDiscard(&files);
                            }).done;
            }
            cutOff += isEmptied ? 0 : 1;
            disk.crashAtSync(0);
            disk.restart();
            MemoryFolder files(&disk);
            REQUIRE(resultOf([&] { return finishDiscard(&files); }).done);
            std::optional<ProcessId> member;
            REQUIRE(resultOf([&]() -> Result<void> {
                        BOOST_LEAF_ASSIGN(member, LogFolder::readMember(&files));
                        return {};
                    }).done);
            // Either nothing was begun, or the folder is empty.
            const CallResult opened = open(member.value_or(ProcessId { 2 }));
            CHECK_MESSAGE(opened.done,
                          "seed " << seed << ", sync " << sync << ": " << opened.detail);
        }
    }
    CHECK(cutOff > 40);
}
