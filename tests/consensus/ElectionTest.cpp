#include <doctest/doctest.h>

#include "Group.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

namespace {

using std::chrono::milliseconds;

/// Handler of a single replica without a group; records the messages that it sends.
class RecordingHandler : public ReplicaHandler
{
public:
    void send(ProcessId /*to*/, std::string bytes) override
    {
        if (auto message = decodeMessage(bytes))
            sent.push_back(std::move(*message));
    }
    void apply(const LogPosition & /*position*/, std::string_view /*command*/) override { }
    std::string makeSnapshot() override { return {}; }
    bool loadSnapshot(std::string_view /*bytes*/) override { return true; }
    void roleChanged(Role /*role*/, ProcessId /*leader*/) override { }
    void readReady(ReadTicket /*ticket*/, bool /*ready*/) override { }

    std::vector<Message> sent;
};

/// Requests the vote of a restarted voter in term 5; returns true when it was granted.
bool voteAfterRestart(MemoryDisk *disk, ProcessId candidate, Timestamp start)
{
    RecordingHandler handler;
    MemoryFolder files(disk);
    const ReplicaSettings settings { .cluster = "test",
                                     .identity = { .self = ProcessId { 1 } },
                                     .seed = 3 };
    auto replica = Replica::open(start, settings, &files, &handler);
    REQUIRE(replica);
    // A restarted voter grants no vote before the shortest election timeout has passed.
    const Timestamp now = start + milliseconds(400);
    const Message request { .from = candidate,
                            .to = ProcessId { 1 },
                            .fromFolder = FolderId { candidate.value },
                            .term = 5,
                            .body = VoteRequest { .lastIndex = 1, .lastTerm = 1 } };
    REQUIRE((*replica)->receive(now, encodeMessage(request)));
    (*replica)->flush(now);
    REQUIRE(handler.sent.size() == 1);
    return std::get<VoteReply>(handler.sent.front().body).granted;
}

/// True when a member that crashed in between votes for two candidates in the same term.
bool votesTwice(DiskFaults faults)
{
    MemoryDisk disk(9, faults);
    const Timestamp start = timestampFromMicroseconds(1'000'000);
    REQUIRE(voteAfterRestart(&disk, ProcessId { 2 }, start));
    disk.restart();
    return voteAfterRestart(&disk, ProcessId { 3 }, start + std::chrono::seconds(1));
}

/// True when an isolated leader still serves reads although a new leader already does.
bool servesStaleReads(std::vector<double> clockRates)
{
    Group group({ .members = 3, .seed = 11, .clockRates = std::move(clockRates) });
    GroupMember *old = nullptr;
    // Member 1, which has the first clock rate, must be the leader.
    REQUIRE(group.awaitLeader());
    while (old == nullptr) {
        GroupMember *leader = group.leader();
        if (leader != nullptr && leader->id == ProcessId { 1 })
            old = leader;
        else if (leader != nullptr)
            (void)leader->replica->transferLeadership(leader->clock(), ProcessId { 1 });
        group.run(milliseconds(200));
    }
    REQUIRE(old->replica->canReadNow(old->clock()));
    group.isolate(old->id);
    for (int it = 0; it < 3000; ++it) {
        group.step();
        if (!group.violation().empty())
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("a vote survives a crash")
{
    CHECK_FALSE(votesTwice({}));
}

TEST_CASE("a disk that loses votes is detected")
{
    CHECK(votesTwice({ .dropVote = true }));
}

TEST_CASE("an isolated leader serves no reads once another leader is possible")
{
    CHECK_FALSE(servesStaleReads({ 0.996, 1.004, 1.004 }));
}

TEST_CASE("stale reads caused by a clock far outside the margin are detected")
{
    CHECK(servesStaleReads({ 0.2, 1.0, 1.0 }));
}

TEST_CASE(
        "a member that returns after a long partition neither disrupts the group nor serves reads")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Group group({ .members = 3, .seed = seed });
        REQUIRE(group.awaitLeader());
        GroupMember *cutOff = group.leader();
        group.isolate(cutOff->id);
        group.run(std::chrono::seconds(60));
        CHECK_FALSE(cutOff->replica->isLeader());
        CHECK_FALSE(cutOff->replica->canReadNow(cutOff->clock()));
        GroupMember *leader = group.leader();
        REQUIRE(leader != nullptr);
        const Term term = leader->replica->node().term();
        group.heal();
        group.run(std::chrono::seconds(5));
        CHECK(group.leader() == leader);
        CHECK(leader->replica->node().term() == term);
        CHECK(cutOff->replica->leader() == leader->id);
        CHECK(group.violation() == "");
    }
}

TEST_CASE("leadership is transferred without an election timeout")
{
    Group group({ .members = 5, .seed = 4 });
    REQUIRE(group.awaitLeader());
    GroupMember *leader = group.leader();
    const ProcessId to { leader->id.value % 5 + 1 };
    REQUIRE(leader->replica->transferLeadership(leader->clock(), to));
    group.run(milliseconds(100));
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader()->id == to);
    CHECK(group.violation() == "");
}

TEST_CASE("contradictory settings are refused")
{
    CHECK(checkNodeSettings({}));
    CHECK_FALSE(checkNodeSettings({ .minElectionTimeout = milliseconds(700) }));
    CHECK_FALSE(checkNodeSettings({ .heartbeatInterval = milliseconds(200) }));
    CHECK(nodeSettingFields().size() > 3);
    CHECK(replacementSettingFields().size() == 3);
}
