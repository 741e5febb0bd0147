#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "acaciafork/control/EntryRegistry.h"

using namespace acaciafork;
using namespace acaciafork::control;

namespace {

constexpr Timestamp at(std::int64_t ms)
{
    return timestampFromMicroseconds(ms * 1000);
}

EntryRecord record(std::uint32_t process, std::uint64_t incarnation, std::uint64_t version)
{
    return { .process = ProcessId { process },
             .incarnation = Incarnation { incarnation },
             .version = ConfigVersion { version } };
}

} // namespace

TEST_CASE("a version is in force once every live entry has confirmed it")
{
    EntryRegistry registry({});
    registry.becameLeader(at(0));
    CHECK(registry.heartbeat(at(1000), record(1, 1, 1)));
    CHECK(registry.heartbeat(at(1000), record(2, 1, 1)));
    CHECK_FALSE(registry.heartbeat(at(3500), record(1, 1, 2)));
    CHECK_FALSE(registry.inForce(at(3500), ConfigVersion { 2 }));
    registry.heartbeat(at(3600), record(2, 1, 2));
    CHECK(registry.inForce(at(3600), ConfigVersion { 2 }));
}

TEST_CASE("an entry that has gone silent holds a version back until its lease has surely run out")
{
    EntryRegistry registry({});
    registry.becameLeader(at(0));
    registry.heartbeat(at(1000), record(2, 1, 1));
    registry.heartbeat(at(4000), record(1, 1, 2));
    CHECK(registry.expire(at(4029)).empty());
    CHECK_FALSE(registry.inForce(at(4029), ConfigVersion { 2 }));
    CHECK(registry.expire(at(4030)).size() == 1);
    CHECK(registry.inForce(at(4030), ConfigVersion { 2 }));
}

TEST_CASE("a new leader can't say what is in force before the last one's leases are over")
{
    EntryRegistry registry({});
    registry.becameLeader(at(10'000));
    registry.heartbeat(at(10'100), record(1, 1, 7));
    CHECK_FALSE(registry.inForce(at(13'029), ConfigVersion { 7 }));
    CHECK(registry.inForce(at(13'030), ConfigVersion { 7 }));
}

TEST_CASE("a late heartbeat of an earlier incarnation changes nothing")
{
    EntryRegistry registry({});
    registry.becameLeader(at(0));
    CHECK(registry.heartbeat(at(1), record(1, 5, 1)));
    CHECK(registry.heartbeat(at(2), record(1, 6, 0)));
    CHECK_FALSE(registry.heartbeat(at(3), record(1, 5, 9)));
    CHECK(registry.entries().at(ProcessId { 1 }).version == ConfigVersion { 0 });
}

TEST_CASE("the revision changes exactly when the list that entries hold does")
{
    EntryRegistry registry({});
    registry.becameLeader(at(0));
    registry.heartbeat(at(1), record(1, 5, 1));
    const std::uint64_t first = registry.revision();
    registry.heartbeat(at(2), record(1, 5, 2));
    CHECK(registry.revision() == first);
    EntryRecord draining = record(1, 5, 2);
    draining.draining = true;
    registry.heartbeat(at(3), draining);
    CHECK(registry.revision() != first);
    const std::uint64_t second = registry.revision();
    CHECK(registry.expire(at(4000)).size() == 1);
    CHECK(registry.revision() != second);
}
