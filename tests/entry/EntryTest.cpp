#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "acaciafork/entry/ConfigFollower.h"

using namespace acaciafork;
using namespace acaciafork::entry;

namespace {

constexpr Timestamp at(std::int64_t ms)
{
    return timestampFromMicroseconds(ms * 1000);
}

constexpr ConfigVersion version(std::uint64_t n)
{
    return ConfigVersion { n };
}

} // namespace

TEST_CASE("an entry is ready only under a lease that counts from when it asked")
{
    ConfigFollower follower({});
    CHECK_FALSE(follower.ready(at(0)));
    const auto first = follower.beginHeartbeat(at(1000));
    CHECK(follower.reply(first, version(3), "three"));
    CHECK(follower.ready(at(3999)));
    CHECK_FALSE(follower.ready(at(4000)));
}

TEST_CASE("a late reply to an old heartbeat extends nothing")
{
    ConfigFollower follower({});
    const auto old = follower.beginHeartbeat(at(0));
    const auto next = follower.beginHeartbeat(at(2500));
    CHECK(follower.reply(next, version(1), "one"));
    CHECK_FALSE(follower.reply(old, version(1), "one"));
    CHECK(follower.ready(at(5499)));
    CHECK_FALSE(follower.ready(at(5500)));
}

TEST_CASE("a version never goes back, whatever order replies come in")
{
    ConfigFollower follower({});
    const auto one = follower.beginHeartbeat(at(0));
    const auto two = follower.beginHeartbeat(at(10));
    CHECK(follower.reply(two, version(5), "five"));
    CHECK_FALSE(follower.reply(one, version(4), "four"));
    CHECK(follower.version() == version(5));
    CHECK(follower.document() == "five");
}

TEST_CASE("a newer version without its document gives no lease")
{
    ConfigFollower follower({});
    const auto one = follower.beginHeartbeat(at(0));
    CHECK_FALSE(follower.reply(one, version(2), ""));
    CHECK_FALSE(follower.ready(at(1)));
}

TEST_CASE("the setting decides what happens without any control member")
{
    ConfigFollower follower({ .serveWithoutControl = true });
    CHECK_FALSE(follower.ready(at(0)));
    follower.reply(follower.beginHeartbeat(at(0)), version(1), "one");
    CHECK(follower.ready(at(60'000)));
}
