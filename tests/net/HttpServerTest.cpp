#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "NetFixtures.h"

namespace acaciafork::net::test {

namespace {

/// Server that keeps its exchanges for the test to answer.
struct Fixture
{
    explicit Fixture(HttpServerSettings settings = {})
        : server(loop, settings,
                 [this](const std::shared_ptr<HttpExchange> &it) { exchanges.push_back(it); })
        , port(listenOnLoopback(server))
    {
        REQUIRE(port != 0);
    }

    /// Waits for the next request.
    std::shared_ptr<HttpExchange> next()
    {
        const std::size_t n = m_taken++;
        runUntil(loop, [&] { return exchanges.size() > n; });
        return exchanges[n];
    }

    Loop loop;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    HttpServer server;
    std::uint16_t port;

private:
    std::size_t m_taken = 0;
};

} // namespace

TEST_CASE("a request and its answer arrive whole, and the connection is kept")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    for (int i = 0; i != 3; ++i) {
        peer.received.clear();
        peer.stream->write(
                "POST /svc/a?b=c HTTP/1.1\r\nhost: x\r\nX-One: 1\r\ncontent-length: 4\r\n\r\nbody");
        const auto exchange = fixture.next();
        CHECK(exchange->method() == "POST");
        CHECK(exchange->target() == "/svc/a?b=c");
        CHECK(exchange->header("x-one") == "1");
        CHECK(exchange->body() == "body");
        CHECK(exchange->remoteAddress().host == "127.0.0.1");
        const Header header { .name = "X-Two", .value = "2" };
        exchange->answer(200, { &header, 1 }, "hello");
        peer.exchange("", "hello");
        CHECK(peer.received.find("x-two: 2") != std::string::npos);
        CHECK_FALSE(peer.isEnded);
    }
}

TEST_CASE("pipelined requests are answered in order, also where the last one is split")
{
    const std::string first = "GET /1 HTTP/1.1\r\nhost: x\r\n\r\n";
    const std::string second = "POST /2 HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody";
    const std::string both = first + second;
    for (std::size_t cut = first.size() - 2; cut != both.size(); ++cut) {
        Fixture fixture;
        RawPeer peer(fixture.loop, fixture.port);
        peer.stream->write(std::string_view(both).substr(0, cut));
        if (cut < first.size())
            peer.stream->write(std::string_view(both).substr(cut));
        fixture.next()->answer(200, {}, "one");
        peer.exchange("", "one");
        if (cut >= first.size())
            peer.stream->write(std::string_view(both).substr(cut));
        const auto exchange = fixture.next();
        CHECK(exchange->target() == "/2");
        CHECK(exchange->body() == "body");
        exchange->answer(200, {}, "two");
        peer.exchange("", "two");
        CHECK(peer.received.find("one") < peer.received.find("two"));
    }
}

TEST_CASE("a malformed head is refused with a typed error")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    peer.exchange("GET / HTTP/1.1\r\nhost\x01 x\r\n\r\n", R"("kind":"invalid-argument")");
    CHECK(peer.received.starts_with("HTTP/1.1 400"));
    CHECK(fixture.exchanges.empty());
}

TEST_CASE("an oversized head is refused with a typed error")
{
    Fixture fixture;
    for (const std::size_t n : { 40'000, 1'000'000 }) {
        RawPeer peer(fixture.loop, fixture.port);
        const std::string head =
                "GET / HTTP/1.1\r\nhost: x\r\nx-long: " + std::string(n, 'a') + "\r\n\r\n";
        peer.exchange(head, R"("kind":"too-large")");
        CHECK_MESSAGE(peer.received.starts_with("HTTP/1.1 431"), peer.received);
    }
    CHECK(fixture.exchanges.empty());
}

TEST_CASE("an oversized body is refused with a typed error before it is read")
{
    Fixture fixture({ .mostBodyBytes = 1'000 });
    RawPeer peer(fixture.loop, fixture.port);
    peer.exchange("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n",
                  R"("kind":"too-large")");
    CHECK(peer.received.starts_with("HTTP/1.1 413"));

    RawPeer chunked(fixture.loop, fixture.port);
    const std::string chunk = "400\r\n" + std::string(0x400, 'a') + "\r\n0\r\n\r\n";
    chunked.exchange("POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n" + chunk,
                     R"("kind":"too-large")");
    CHECK(fixture.exchanges.empty());
}

TEST_CASE("a slow sender is refused with a typed error")
{
    Fixture fixture({ .requestTimeout = std::chrono::milliseconds(50) });
    RawPeer peer(fixture.loop, fixture.port);
    peer.exchange("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf",
                  R"("kind":"timeout")");
    CHECK(peer.received.starts_with("HTTP/1.1 408"));
    runUntil(fixture.loop, [&] { return fixture.server.connections() == 0; });
    CHECK(fixture.exchanges.empty());
}

TEST_CASE("bodies over the memory budget are refused as not run")
{
    for (const bool isChunked : { false, true }) {
        Fixture fixture({ .mostBufferedBytes = 120'000 });
        std::vector<std::unique_ptr<RawPeer>> peers;
        for (int i = 0; i != 4; ++i) {
            peers.push_back(std::make_unique<RawPeer>(fixture.loop, fixture.port));
            const std::string framing = isChunked ? "transfer-encoding: chunked\r\n\r\nea60\r\n"
                                                  : "content-length: 60000\r\n\r\n";
            peers.back()->stream->write("POST / HTTP/1.1\r\nhost: x\r\n" + framing
                                        + std::string(50'000, 'a'));
        }
        // Two of the four fit; each of the others is told that it did not run.
        runUntil(fixture.loop, [&] { return fixture.server.connections() == 2; });
        runUntil(fixture.loop, [&] {
            return std::count_if(peers.begin(), peers.end(),
                                 [](const auto &it) {
                                     return it->received.starts_with("HTTP/1.1 503")
                                             && it->received.find("outcome: not-run")
                                             != std::string::npos;
                                 })
                    == 2;
        });
        CHECK(fixture.exchanges.empty());
        CHECK(fixture.server.bufferedBytes() <= 120'000);
        for (const auto &it : peers) {
            if (it->received.empty())
                it->stream->write(std::string(10'000, 'a') + (isChunked ? "\r\n0\r\n\r\n" : ""));
        }
        for (int i = 0; i != 2; ++i) {
            const auto exchange = fixture.next();
            CHECK(exchange->body().size() == 60'000);
            exchange->answer(200, {}, "ok");
        }
        runUntil(fixture.loop, [&] { return fixture.server.bufferedBytes() == 0; });
    }
}

TEST_CASE("a large answer to a slow peer waits outside of memory")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    peer.stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    const auto exchange = fixture.next();
    constexpr std::size_t whole = 64UL * 1024 * 1024;
    constexpr std::size_t pieceBytes = 64UL * 1024;
    const std::string piece(pieceBytes, 'p');
    std::size_t written = 0;
    std::size_t mostBacklog = 0;
    const auto writeOn = [&] {
        while (written < whole && exchange->backlog() == 0) {
            exchange->write(piece);
            written += pieceBytes;
        }
        mostBacklog = std::max(mostBacklog, exchange->backlog());
        if (written == whole)
            exchange->finish();
    };
    peer.stream->pauseReading();
    exchange->onDrained(writeOn);
    exchange->begin(200, {}, whole);
    writeOn();
    // While the peer does not read, no more than the kernel takes leaves.
    for (int i = 0; i != 20; ++i)
        fixture.loop.runOnce(std::chrono::milliseconds(1));
    CHECK(written < whole);
    peer.stream->resumeReading();
    runUntil(fixture.loop, [&] { return peer.received.size() >= whole; });
    CHECK(mostBacklog <= 2 * pieceBytes);
    runUntil(fixture.loop, [&] { return !exchange->isOpen(); });
}

TEST_CASE("a peer that stops reading is let go")
{
    Fixture fixture({ .stallTimeout = std::chrono::milliseconds(100) });
    RawPeer peer(fixture.loop, fixture.port);
    peer.stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    const auto exchange = fixture.next();
    peer.stream->pauseReading();
    exchange->answer(200, {}, std::string(64UL * 1024 * 1024, 'p'));
    runUntil(fixture.loop,
             [&] { return !exchange->isOpen() && fixture.server.connections() == 0; });
}

TEST_CASE("answers without a body stay without one")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    for (const int status : { 204, 304 }) {
        peer.received.clear();
        peer.stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        const auto exchange = fixture.next();
        exchange->begin(status, {}, std::nullopt);
        exchange->finish();
        runUntil(fixture.loop, [&] { return !exchange->isOpen(); });
        peer.exchange("", "\r\n\r\n");
        CHECK(peer.received.ends_with("\r\n\r\n"));
        CHECK(peer.received.find("0\r\n\r\n") == std::string::npos);
    }
    peer.received.clear();
    peer.stream->write("HEAD / HTTP/1.1\r\nhost: x\r\n\r\n");
    const auto exchange = fixture.next();
    exchange->begin(200, {}, 100);
    exchange->finish();
    runUntil(fixture.loop, [&] { return !exchange->isOpen(); });
    peer.exchange("", "Content-Length: 100");
    CHECK_FALSE(peer.isEnded);
}

TEST_CASE("a body that waits for leave to be sent gets it")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    peer.exchange("POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n",
                  "HTTP/1.1 100");
    peer.stream->write("body");
    CHECK(fixture.next()->body() == "body");
}

TEST_CASE("an answer broken off never looks whole")
{
    for (const bool isChunked : { false, true }) {
        Fixture fixture;
        RawPeer peer(fixture.loop, fixture.port);
        peer.stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        const auto exchange = fixture.next();
        exchange->begin(200, {}, isChunked ? std::nullopt : std::optional<std::uint64_t>(100));
        exchange->write("part");
        peer.exchange("", "part");
        exchange->abort();
        runUntil(fixture.loop, [&] { return peer.isEnded && !exchange->isOpen(); });
        CHECK(peer.received.find("0\r\n\r\n") == std::string::npos);
    }
}

TEST_CASE("a caller that goes away is noticed, and later calls do nothing")
{
    Fixture fixture;
    auto peer = std::make_unique<RawPeer>(fixture.loop, fixture.port);
    peer->stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    const auto exchange = fixture.next();
    bool isGone = false;
    exchange->onGone([&] { isGone = true; });
    peer.reset();
    runUntil(fixture.loop, [&] { return isGone; });
    exchange->answer(200, {}, "too late");
    runUntil(fixture.loop, [&] { return !exchange->isOpen(); });
    exchange->write("nothing");
    exchange->finish();
    exchange->abort();
    CHECK(exchange->method().empty());
}

TEST_CASE("a graceful shutdown cuts off no request in progress")
{
    Fixture fixture;
    RawPeer busy(fixture.loop, fixture.port);
    RawPeer idle(fixture.loop, fixture.port);
    RawPeer arriving(fixture.loop, fixture.port);
    arriving.stream->write("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbo");
    busy.stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    const auto first = fixture.next();
    runUntil(fixture.loop, [&] { return fixture.server.bufferedBytes() > 0; });
    bool isDrained = false;
    fixture.server.drain([&] { isDrained = true; });
    runUntil(fixture.loop, [&] { return idle.isEnded; });
    CHECK_FALSE(isDrained);

    arriving.stream->write("dy");
    const auto second = fixture.next();
    first->begin(200, {}, std::nullopt);
    first->write("one ");
    first->write("two");
    first->finish();
    second->answer(200, {}, "three");
    runUntil(fixture.loop, [&] { return isDrained && busy.isEnded && arriving.isEnded; });
    CHECK(busy.received.find("\r\n0\r\n\r\n") != std::string::npos);
    CHECK(arriving.received.find("three") != std::string::npos);
}

TEST_CASE("a draining server answers what comes on kept connections before it closes them")
{
    Fixture fixture({ .drainLinger = std::chrono::milliseconds(300) });
    RawPeer late(fixture.loop, fixture.port);
    RawPeer idle(fixture.loop, fixture.port);
    for (RawPeer *it : { &late, &idle }) {
        it->stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        fixture.next()->answer(200, {}, "first");
        it->exchange("", "first");
    }
    bool isDrained = false;
    fixture.server.drain([&] { isDrained = true; });
    // Several looks of the watch over idle connections.
    const Timestamp later = Loop::now() + std::chrono::milliseconds(60);
    runUntil(fixture.loop, [&] { return Loop::now() >= later; });
    REQUIRE_FALSE(late.isEnded);
    REQUIRE_FALSE(idle.isEnded);

    late.received.clear();
    late.stream->write("GET /late HTTP/1.1\r\nhost: x\r\n\r\n");
    const auto exchange = fixture.next();
    CHECK(exchange->target() == "/late");
    exchange->answer(200, {}, "second");
    late.exchange("", "second");
    CHECK(late.received.find("Connection: close") != std::string::npos);
    runUntil(fixture.loop, [&] { return late.isEnded; });
    CHECK_FALSE(isDrained);
    runUntil(fixture.loop, [&] { return idle.isEnded && isDrained; });
}

TEST_CASE("a server that goes away leaves its loop sound")
{
    Loop loop;
    auto server = std::make_unique<HttpServer>(loop, HttpServerSettings {},
                                               [](const auto &it) { it->answer(200, {}, "ok"); });
    const std::uint16_t port = listenOnLoopback(*server);
    RawPeer idle(loop, port);
    RawPeer half(loop, port);
    half.stream->write("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbo");
    runUntil(loop, [&] { return server->bufferedBytes() > 0 && server->connections() == 2; });
    idle.stream->write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    server.reset();
    runUntil(loop, [&] { return idle.isEnded && half.isEnded; });
}

TEST_CASE("an upgrade hands over the connection in both directions")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    peer.stream->write(
            "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: motion\r\n\r\nearly");
    const auto exchange = fixture.next();
    CHECK(exchange->upgradeProtocol() == "motion");
    std::unique_ptr<TcpStream> stream;
    exchange->upgrade({}, [&](std::unique_ptr<TcpStream> it) { stream = std::move(it); });
    runUntil(fixture.loop, [&] { return stream != nullptr; });
    CHECK(fixture.server.connections() == 0);
    CHECK(fixture.server.inProgress() == 0);
    std::string received;
    bool isEnded = false;
    stream->onRead([&](std::string_view bytes) {
        isEnded = bytes.empty();
        received.append(bytes);
    });
    stream->write("server side");
    peer.exchange(" and late", "server side");
    CHECK(peer.received.starts_with("HTTP/1.1 101"));
    peer.stream->endWrite();
    runUntil(fixture.loop, [&] { return isEnded; });
    CHECK(received == "early and late");
    // One direction has ended; the other goes on.
    stream->write(" after the end");
    peer.exchange("", " after the end");
}

TEST_CASE("a server without a descriptor left pauses, and takes what waits once there is one")
{
    // The listener stays readable meanwhile: the loop used to turn without a pause.
    Fixture fixture;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(fd >= 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(fixture.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    const std::string request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    REQUIRE(::send(fd, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));

    // A new descriptor is the lowest free one, so none is left below the limit.
    rlimit limit {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    rlimit lowered = limit;
    lowered.rlim_cur = static_cast<rlim_t>(fd) + 1;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    int turns = 0;
    fixture.loop.onTurnEnd([&] { ++turns; });
    const Timestamp end = Loop::now() + std::chrono::milliseconds(250);
    while (Loop::now() < end)
        fixture.loop.runOnce(std::chrono::milliseconds(20));
    CHECK(turns < 100);
    CHECK(fixture.exchanges.empty());
    CHECK(fixture.server.counts().acceptsFailed > 0);

    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    fixture.next()->answerJson(200, "{}");
    ::close(fd);
}

TEST_CASE("connections over the limit are counted apart from requests that are refused")
{
    // The log tells of the first one; a bad request before it used to keep that from the log.
    Fixture fixture({ .mostConnections = 1 });
    {
        RawPeer bad(fixture.loop, fixture.port);
        bad.stream->write("not a request\r\n\r\n");
        runUntil(fixture.loop, [&] { return bad.isEnded; });
    }
    runUntil(fixture.loop, [&] { return fixture.server.connections() == 0; });
    CHECK(fixture.server.counts().overLimit == 0);
    RawPeer first(fixture.loop, fixture.port);
    runUntil(fixture.loop, [&] { return fixture.server.connections() == 1; });
    RawPeer second(fixture.loop, fixture.port);
    runUntil(fixture.loop, [&] { return second.isEnded; });
    CHECK(fixture.server.counts().overLimit == 1);
}

} // namespace acaciafork::net::test
