#include "NetFixtures.h"

#include "acaciafork/net/MessageLink.h"

namespace acaciafork::net::test {

using namespace std::chrono_literals;

namespace {

constexpr ProcessId peerId { 2 };

std::span<const std::byte> bytesOf(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

std::string_view textOf(std::span<const std::byte> bytes)
{
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

/// Port at which a link listens on loopback.
std::uint16_t listenOnLoopback(MessageLink &link)
{
    return leaf::try_handle_all(
            [&]() -> Result<std::uint16_t> {
                return link.listen({ .host = "127.0.0.1", .port = 0 });
            },
            [] { return std::uint16_t(0); });
}

void addPeer(MessageLink &link, std::uint16_t port)
{
    leaf::try_handle_all(
            [&]() -> Result<void> {
                return link.addPeer(peerId, { .host = "127.0.0.1", .port = port });
            },
            [] { FAIL("cannot add the peer"); });
}

} // namespace

TEST_CASE("messages of a busy loop are handled within a few turns")
{
    // Messages waited for threads of the transport, which got the processor after the loop.
    Loop loop;
    MessageLink one(loop, {});
    MessageLink other(loop, {});
    addPeer(one, listenOnLoopback(other));
    addPeer(other, listenOnLoopback(one));
    int answers = 0;
    other.onMessage([&](std::span<const std::byte> it) { other.send(peerId, it); });
    one.onMessage([&](std::span<const std::byte>) { ++answers; });
    runUntil(loop, [&] {
        one.send(peerId, bytesOf("connect"));
        return answers > 0;
    });
    for (int i = 0; i != 1'000; ++i)
        loop.runOnce(0ms);

    std::vector<int> turns;
    for (int i = 0; i != 201; ++i) {
        const int before = answers;
        one.send(peerId, bytesOf("order"));
        turns.push_back(0);
        runUntil(loop, [&] {
            loop.post([] {});
            ++turns.back();
            return answers > before;
        });
    }
    std::ranges::sort(turns);
    CHECK(turns[turns.size() / 2] <= 5);
}

TEST_CASE("a message arrives although its sender's loop does not turn")
{
    Loop senders;
    Loop receivers;
    MessageLink sender(senders, {});
    MessageLink receiver(receivers, {});
    int received = 0;
    receiver.onMessage([&](std::span<const std::byte>) { ++received; });
    addPeer(sender, listenOnLoopback(receiver));
    runUntil(receivers, [&] {
        senders.runOnce(1ms);
        sender.send(peerId, bytesOf("connect"));
        return received > 0;
    });
    const int before = received;
    CHECK(sender.send(peerId, bytesOf("append")));
    runUntil(receivers, [&] { return received > before; });
}

TEST_CASE("a large message arrives whole and in order, and one that is too large breaks off")
{
    Loop loop;
    MessageLink sender(loop, {});
    MessageLink receiver(loop, { .mostMessageBytes = 3'000'000 });
    std::vector<std::size_t> sizes;
    std::string last;
    receiver.onMessage([&](std::span<const std::byte> it) {
        if (textOf(it) == "connect")
            return;
        sizes.push_back(it.size());
        last = textOf(it);
    });
    addPeer(sender, listenOnLoopback(receiver));
    CHECK(sender.send(peerId, bytesOf("connect")));
    const std::string large = std::string(2'999'999, 'x') + "y";
    for (const std::string &it : { std::string("a"), large, std::string(), large })
        CHECK(sender.send(peerId, bytesOf(it)));
    runUntil(loop, [&] { return sizes.size() == 4; });
    CHECK(sizes == std::vector<std::size_t> { 1, 3'000'000, 0, 3'000'000 });
    CHECK(last == large);

    CHECK(sender.send(peerId, bytesOf(large + "z")));
    runUntil(loop, [&] {
        sender.send(peerId, bytesOf("again"));
        return sizes.back() == 5;
    });
    CHECK(std::ranges::count(sizes, large.size() + 1) == 0);
}

TEST_CASE("messages to a peer that does not read are dropped once its queue is full")
{
    Loop loop;
    std::vector<std::unique_ptr<TcpStream>> accepted;
    TcpListener listener(loop,
                         [&](std::unique_ptr<TcpStream> it) { accepted.push_back(std::move(it)); });
    std::uint16_t port = 0;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(port, listener.listen({ .host = "127.0.0.1", .port = 0 }));
                return {};
            },
            [] { FAIL("cannot listen"); });
    MessageLink sender(loop, { .sendQueue = 8 });
    addPeer(sender, port);
    runUntil(loop, [&] { return !accepted.empty(); });
    const std::string message(100'000, 'x');
    int sent = 0;
    runUntil(loop, [&] {
        sent += sender.send(peerId, bytesOf(message)) ? 1 : 0;
        return sender.counts().droppedOnSend >= 100;
    });
    CHECK(sender.counts().sent == static_cast<std::uint64_t>(sent));
}

TEST_CASE("large messages to a peer that is away or does not read take a bounded number of bytes")
{
    // Guards against members that end over their memory by messages to one that is down or frozen.
    Loop loop;
    std::vector<std::unique_ptr<TcpStream>> accepted;
    TcpListener listener(loop, [&](std::unique_ptr<TcpStream> it) {
        it->pauseReading();
        accepted.push_back(std::move(it));
    });
    std::uint16_t port = 0;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(port, listener.listen({ .host = "127.0.0.1", .port = 0 }));
                return {};
            },
            [] { FAIL("cannot listen"); });
    const std::string message(1'000'000, 'x');
    const auto sendMany = [&](MessageLink *link) {
        for (int it = 0; it < 100; ++it) {
            link->send(peerId, bytesOf(message));
            loop.runOnce(0ms);
        }
    };
    // What the kernel takes for a connection counts as sent, too.
    constexpr std::uint64_t kernelBytes = 16'000'000;
    const MessageLinkSettings settings;
    MessageLink away(loop, settings);
    addPeer(away, 1);
    sendMany(&away);
    CHECK(away.counts().sent > 0);
    CHECK(away.counts().bytesSent <= static_cast<std::uint64_t>(settings.sendQueueBytes));
    MessageLink frozen(loop, settings);
    addPeer(frozen, port);
    runUntil(loop, [&] { return !accepted.empty(); });
    sendMany(&frozen);
    CHECK(frozen.counts().sent > 0);
    CHECK(frozen.counts().bytesSent
          <= static_cast<std::uint64_t>(settings.sendQueueBytes) + kernelBytes);
    // A message that is larger than the bound by itself is sent all the same.
    MessageLink small(loop, { .sendQueueBytes = 1000 });
    addPeer(small, 1);
    CHECK(small.send(peerId, bytesOf(message)));
    CHECK_FALSE(small.send(peerId, bytesOf("next")));
}

} // namespace acaciafork::net::test
