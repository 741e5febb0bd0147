#include "NetFixtures.h"

#include <csignal>

#include "acaciafork/net/MessageLink.h"

namespace acaciafork::net::test {

using namespace std::chrono_literals;

TEST_CASE("timers fire in order, and a cancelled one never does")
{
    Loop loop;
    std::vector<int> fired;
    loop.after(2ms, [&] { fired.push_back(2); });
    loop.after(1ms, [&] { fired.push_back(1); });
    const TimerId cancelled = loop.after(1ms, [&] { fired.push_back(9); });
    loop.cancel(cancelled);
    TimerId repeating;
    int repeats = 0;
    repeating = loop.every(1ms, [&] {
        if (++repeats != 3)
            return;
        // Were it still there, it would fire again before the loop stops.
        loop.cancel(repeating);
        loop.after(10ms, [&] { loop.stop(); });
    });
    loop.run();
    CHECK(fired == std::vector { 1, 2 });
    CHECK(repeats == 3);
}

TEST_CASE("what a posted function writes does not wait for the next event")
{
    Loop loop;
    HttpClient client(loop, {});
    RawServer server(loop, [](TcpStream &it, const std::string &) {
        it.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    });
    // Each call starts outside of h2o's own callbacks; the loop has nothing else to wake it up.
    int left = 200;
    std::function<void()> callNext = [&] {
        client.call({ .address = server.address() }, [&](const HttpReply &) {
            if (--left == 0)
                loop.stop();
            else
                loop.post(callNext);
        });
    };
    int turns = 0;
    loop.onTurnEnd([&] { ++turns; });
    const TimerId late = loop.after(30s, [&] { loop.stop(); });
    loop.post(callNext);
    loop.run();
    loop.cancel(late);
    CHECK(left == 0);
}

TEST_CASE("the end of a turn comes after what was posted for it")
{
    Loop loop;
    std::vector<int> order;
    loop.onTurnEnd([&] { order.push_back(2); });
    loop.post([&] {
        order.push_back(1);
        loop.stop();
    });
    loop.run();
    CHECK(order == std::vector { 1, 2 });
}

TEST_CASE("a signal reaches the loop")
{
    Loop loop;
    int seen = 0;
    loop.onSignal([&](int number) {
        seen = number;
        loop.stop();
    });
    ::raise(SIGTERM);
    loop.run();
    CHECK(seen == SIGTERM);
}

TEST_CASE("an address is parsed or refused")
{
    const auto shown = [](std::string_view text) {
        return leaf::try_handle_all(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(address, parseAddress(text));
                    return address.toString();
                },
                [](const Failure &failure) { return std::string(failureKindName(failure.kind)); },
                [] { return std::string("?"); });
    };
    CHECK(shown("10.1.2.3:80") == "10.1.2.3:80");
    CHECK(shown("[::1]:80") == "[::1]:80");
    for (const std::string_view it :
         { "10.1.2.3", "10.1.2.3:", "10.1.2.3:65536", "name:80", ":80", "10.1.2.3:8x" })
        CHECK(shown(it) == "invalid-argument");
}

TEST_CASE("messages travel between links, and sending never waits")
{
    Loop loop;
    MessageLink one(loop, {});
    MessageLink other(loop, { .mostMessageBytes = 1'000 });
    std::uint16_t port = 0;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(port, other.listen({ .host = "127.0.0.1", .port = 0 }));
                return one.addPeer(ProcessId { 2 }, { .host = "127.0.0.1", .port = port });
            },
            [] { FAIL("cannot listen"); });
    std::vector<std::string> received;
    other.onMessage([&](std::span<const std::byte> it) {
        received.emplace_back(reinterpret_cast<const char *>(it.data()), it.size());
    });
    const auto send = [&](MessageLink &link, std::string_view text) {
        return link.send(ProcessId { 2 }, std::as_bytes(std::span(text.data(), text.size())));
    };
    // Datagrams may be lost while the connection is made, so the sender repeats them.
    runUntil(loop, [&] {
        send(one, "hello");
        return !received.empty();
    });
    CHECK(received.front() == "hello");
    CHECK_FALSE(one.send(ProcessId { 3 }, {}));
    CHECK_FALSE(send(other, std::string(2'000, 'x')));

    // To a peer that is away the queue fills, and then messages are dropped and counted.
    MessageLink lonely(loop, { .sendQueue = 4 });
    leaf::try_handle_all(
            [&]() -> Result<void> {
                return lonely.addPeer(ProcessId { 2 }, { .host = "127.0.0.1", .port = 1 });
            },
            [] { FAIL("cannot add"); });
    for (int i = 0; i != 20; ++i)
        send(lonely, "lost");
    CHECK(lonely.counts().droppedOnSend >= 15);
    one.removePeer(ProcessId { 2 });
    CHECK_FALSE(send(one, "gone"));
}

TEST_CASE("a link finds a peer again that has started anew")
{
    Loop loop;
    MessageLink sender(loop, { .sendQueue = 2 });
    std::uint16_t port = 0;
    for (int start = 0; start != 2; ++start) {
        MessageLink peer(loop, {});
        int received = 0;
        peer.onMessage([&](std::span<const std::byte>) { ++received; });
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(port, peer.listen({ .host = "127.0.0.1", .port = port }));
                    return sender.addPeer(ProcessId { 2 }, { .host = "127.0.0.1", .port = port });
                },
                [] { FAIL("cannot listen"); });
        runUntil(loop, [&] {
            sender.send(ProcessId { 2 }, std::as_bytes(std::span("hello", 5)));
            return received > 0;
        });
    }
}

} // namespace acaciafork::net::test
