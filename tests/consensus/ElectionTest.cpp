#include <doctest/doctest.h>

#include "Group.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

namespace {

using std::chrono::milliseconds;

/// Handler of a replica that is alone in a test; keeps what it sends.
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

/// Asks a restarted voter for its vote in one term; true when it gave it.
bool voteAfterRestart(MemoryDisk *disk, ProcessId candidate, Timestamp start)
{
    RecordingHandler handler;
    MemoryFolder files(disk);
    const ReplicaSettings settings { .cluster = "test",
                                     .identity = { .self = ProcessId { 1 } },
                                     .seed = 3 };
    auto replica = Replica::open(start, settings, &files, &handler);
    REQUIRE(replica);
    // Past the silence that a restarted voter keeps.
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

/// True when two candidates got the vote of one member in one term, with a crash between.
bool votesTwice(DiskFaults faults)
{
    MemoryDisk disk(9, faults);
    const Timestamp start = timestampFromMicroseconds(1'000'000);
    REQUIRE(voteAfterRestart(&disk, ProcessId { 2 }, start));
    disk.restart();
    return voteAfterRestart(&disk, ProcessId { 3 }, start + std::chrono::seconds(1));
}

/// True when, after the leader was cut off, it still serves reads at a time at which another leader
/// already does.
bool servesStaleReads(std::vector<double> clockRates)
{
    Group group({ .members = 3, .seed = 11, .clockRates = std::move(clockRates) });
    GroupMember *old = nullptr;
    // The member with the first clock has to lead.
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

TEST_CASE("a vote outlives a crash")
{
    CHECK_FALSE(votesTwice({}));
}

TEST_CASE("a disk that forgets votes is caught")
{
    CHECK(votesTwice({ .dropVote = true }));
}

TEST_CASE("a leader that is cut off serves no read once another one may lead")
{
    CHECK_FALSE(servesStaleReads({ 0.996, 1.004, 1.004 }));
}

TEST_CASE("a clock far outside the margin is caught serving stale reads")
{
    CHECK(servesStaleReads({ 0.2, 1.0, 1.0 }));
}

TEST_CASE("a member that returns after a long partition neither disrupts nor serves reads")
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

TEST_CASE("leadership is handed over without an election timeout")
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

TEST_CASE("settings that contradict each other are refused")
{
    CHECK(checkNodeSettings({}));
    CHECK_FALSE(checkNodeSettings({ .minElectionTimeout = milliseconds(700) }));
    CHECK_FALSE(checkNodeSettings({ .heartbeatInterval = milliseconds(200) }));
    CHECK(nodeSettingFields().size() > 3);
    CHECK(replacementSettingFields().size() == 3);
}
