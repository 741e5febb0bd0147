#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Group.h"

using namespace acaciafork;
using namespace acaciafork::consensus;

namespace {

/// Proposes a write and runs until the leader has applied it; false when it was not.
bool writeThrough(Group *group, std::uint64_t operation)
{
    GroupMember *leader = group->leader();
    if (leader == nullptr)
        return false;
    if (!leader->replica->propose(leader->clock(), Register::command(operation, 0, operation)))
        return false;
    for (int it = 0; it < 1000 && leader->state.find(operation) == nullptr; ++it)
        group->step();
    return leader->state.find(operation) != nullptr;
}

} // namespace

TEST_CASE("a new group forms, elects a leader and replicates")
{
    Group group({ .members = 3, .seed = 7 });
    REQUIRE(group.awaitLeader());
    for (std::uint64_t it = 1; it <= 50; ++it)
        REQUIRE(writeThrough(&group, it));
    group.run(std::chrono::milliseconds(500));
    for (auto &[id, member] : group.members()) {
        CHECK(member->state.version() == 50);
        CHECK(member->state.value() == 50);
    }
    group.checkLogs();
    CHECK(group.violation() == "");
}

TEST_CASE("a group survives the loss of its leader and restarts of all")
{
    Group group({ .members = 3, .seed = 8 });
    REQUIRE(group.awaitLeader());
    for (std::uint64_t it = 1; it <= 10; ++it)
        REQUIRE(writeThrough(&group, it));

    GroupMember *lost = group.leader();
    lost->crash();
    REQUIRE(group.awaitLeader());
    REQUIRE(writeThrough(&group, 11));
    REQUIRE(lost->start());
    for (auto &[id, member] : group.members()) {
        member->crash();
        REQUIRE(member->start());
    }
    REQUIRE(group.awaitLeader());
    CHECK(group.leader()->state.version() == 11);
    CHECK(group.violation() == "");
}
