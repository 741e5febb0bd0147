#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <vector>

#include <doctest/doctest.h>

#include "acaciafork/state/State.h"
#include "platform/Platform.h"
#include "tests/net/NetFixtures.h"

using namespace acaciafork;
using namespace acaciafork::net::test;
using namespace acaciafork::platform;
using namespace std::chrono_literals;

namespace {

constexpr Duration wait = 40ms;
constexpr std::string_view start = "POST /start HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
constexpr std::string_view end = "POST /end HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";

/// Sends bytes to a port on loopback and closes the connection, before the loop turns.
void sendAndClose(std::uint16_t port, std::string_view bytes)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(fd >= 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK(::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    CHECK(::send(fd, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    ::close(fd);
}

/// Two members that take orders for one zone, and the replicated state behind both.
struct Members
{
    Members()
        : ports { listenOnLoopback(servers[0]), listenOnLoopback(servers[1]) }
    { }

    void take(const std::shared_ptr<net::HttpExchange> &exchange)
    {
        ++read;
        const bool closed = exchange->target() == "/start";
        gate.pass(exchange, [this, exchange, closed] {
            ++executed;
            wire::Command command;
            command.set_cell(1);
            command.mutable_change_zone()->set_zone("a");
            command.mutable_change_zone()->set_closed(closed);
            machine.apply(++index, state::bytesOf(state::encodeCommand(command)));
            exchange->answerJson(200, "{}");
        });
    }

    /// Turns the loop for a time.
    void run(Duration length)
    {
        const Timestamp until = net::Loop::now() + length;
        while (net::Loop::now() < until)
            loop.runOnce(2ms);
    }

    [[nodiscard]] bool isClosed() const { return !machine.closedZones().all().empty(); }

    net::Loop loop;
    OrderGate gate { &loop, wait };
    state::StateMachine machine { CellId { 1 } };
    std::uint64_t index = 0;
    int read = 0;
    int executed = 0;
    std::array<net::HttpServer, 2> servers { {
            { loop, {}, [this](const auto &it) { take(it); } },
            { loop, {}, [this](const auto &it) { take(it); } },
    } };
    std::array<std::uint16_t, 2> ports;
};

} // namespace

TEST_CASE("an order is executed after the wait while its caller is there")
{
    Members members;
    RawPeer peer(members.loop, members.ports[0]);
    const Timestamp began = net::Loop::now();
    peer.exchange(start, "200 OK");
    CHECK(net::Loop::now() - began >= wait);
    CHECK(members.isClosed());
    // The connection serves the next order.
    peer.received.clear();
    peer.exchange(end, "200 OK");
    CHECK_FALSE(members.isClosed());
}

TEST_CASE("an order whose caller has gone before the look is not executed, and its exchange ends")
{
    // The bytes of a copy that was held up may come together with the close, or somewhat before it.
    for (const Duration closeAfter : { 0ms, 5ms, 20ms }) {
        CAPTURE(closeAfter.count());
        Members members;
        auto peer = std::make_unique<RawPeer>(members.loop, members.ports[0]);
        peer->stream->write(std::string(start));
        runUntil(members.loop, [&] { return members.read == 1; });
        members.run(closeAfter);
        peer.reset();
        members.run(2 * wait);
        CHECK(members.executed == 0);
        runUntil(members.loop, [&] { return members.servers[0].inProgress() == 0; });
    }
}

TEST_CASE("an order that was read late is not executed if its close had arrived before")
{
    // A frozen member finds the request and the close when it wakes.
    Members members;
    sendAndClose(members.ports[0], start);
    members.run(3 * wait);
    CHECK(members.read == 1);
    CHECK(members.executed == 0);
    CHECK(members.servers[0].inProgress() == 0);
}

TEST_CASE("late copies of orders change nothing in any interleaving with orders that are answered")
{
    // A late copy of a Start after an acknowledged End would close the zone for good, and a late
    // copy of an End after an acknowledged Start would let tasks start in it.
    enum class Event : std::uint8_t { Start, End, LateStart, LateEnd };
    std::array events { Event::Start, Event::End, Event::LateStart, Event::LateEnd };
    int interleavings = 0;
    do {
        for (const std::size_t lateMember : { std::size_t { 0 }, std::size_t { 1 } }) {
            ++interleavings;
            Members members;
            bool expected = false;
            for (const Event it : events) {
                const bool isLate = it == Event::LateStart || it == Event::LateEnd;
                const bool closes = it == Event::Start || it == Event::LateStart;
                const std::size_t member = isLate ? lateMember : 1 - lateMember;
                auto peer = std::make_unique<RawPeer>(members.loop, members.ports.at(member));
                if (isLate) {
                    const int read = members.read;
                    peer->stream->write(std::string(closes ? start : end));
                    runUntil(members.loop, [&] { return members.read > read; });
                    peer.reset();
                    continue;
                }
                peer->exchange(closes ? start : end, "200 OK");
                expected = closes;
                CHECK(members.isClosed() == expected);
            }
            members.run(2 * wait);
            CHECK(members.isClosed() == expected);
            CHECK(members.executed == 2);
        }
    } while (std::ranges::next_permutation(events).found);
    CHECK(interleavings == 48);
}
