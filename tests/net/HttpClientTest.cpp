#include <array>
#include <optional>

#include "NetFixtures.h"

namespace acaciafork::net::test {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view wholeAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Runs one call against a server that follows `script`, and returns what the sink saw.
std::unique_ptr<RecordingSink> callOnce(Loop &loop, HttpClient &client, const Address &address,
                                        Duration timeout = 30s)
{
    auto sink = std::make_unique<RecordingSink>();
    client.start({ .address = address, .target = "/", .timeout = timeout }, *sink);
    runUntil(loop, [&] { return sink->end.has_value(); });
    return sink;
}

} // namespace

TEST_CASE("calls share a kept connection")
{
    Loop loop;
    HttpClient client(loop, {});
    RawServer server(loop, [](TcpStream &it, const std::string &) { it.write(wholeAnswer); });
    for (int i = 0; i != 5; ++i) {
        const auto sink = callOnce(loop, client, server.address());
        CHECK(sink->end->phase == CallPhase::Complete);
        CHECK_FALSE(sink->end->failure);
        CHECK(sink->body == "ok");
    }
    CHECK(server.accepted() == 1);
    CHECK(client.inProgress() == 0);
}

TEST_CASE("a peer that cannot be reached is told apart from one that was sent the request")
{
    Loop loop;
    HttpClient client(loop, {});
    Address gone;
    {
        RawServer server(loop, [](TcpStream &, const std::string &) {});
        gone = server.address();
    }
    const auto sink = callOnce(loop, client, gone);
    CHECK(sink->end->phase == CallPhase::NotConnected);
    CHECK(sink->end->failure->kind == FailureKind::Unreachable);
}

TEST_CASE("an answer that is cut short is a failure in the phase that it reached")
{
    struct Case
    {
        std::string answer;
        CallPhase phase;
    };
    const Case cases[] = {
        { "", CallPhase::Sent },
        { "HTTP/1.1 200 OK\r\ncontent-le", CallPhase::Sent },
        { "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", CallPhase::Headers },
        { "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345", CallPhase::Body },
        { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n", CallPhase::Body },
        { "HTTP/1.1 200 OK\r\n\r\nends with the connection", CallPhase::Headers },
        { "not HTTP at all\r\n\r\n", CallPhase::Sent },
    };
    for (const bool isReset : { false, true }) {
        for (const auto &it : cases) {
            Loop loop;
            HttpClient client(loop, {});
            TcpStream *served = nullptr;
            RawServer server(loop, [&](TcpStream &stream, const std::string &) {
                stream.write(it.answer);
                served = &stream;
            });
            RecordingSink sink;
            client.start({ .address = server.address(), .timeout = 30s }, sink);
            runUntil(loop, [&] { return served != nullptr && served->backlog() == 0; });
            // The end comes by itself, in its own read, so that the phase before it is seen.
            for (int i = 0; i != 5; ++i)
                loop.runOnce(1ms);
            isReset ? served->reset() : served->close();
            runUntil(loop, [&] { return sink.end.has_value(); });
            CAPTURE(it.answer);
            CHECK(sink.end->phase == it.phase);
            CHECK(sink.end->failure);
            CHECK(client.inProgress() == 0);
            const auto next = callOnce(loop, client, server.address(), 100ms);
            CHECK(server.accepted() == 2);
        }
    }
}

TEST_CASE("a call that is not answered in time ends, and its connection is not used again")
{
    Loop loop;
    HttpClient client(loop, {});
    std::vector<TcpStream *> streams;
    RawServer server(loop, [&](TcpStream &it, const std::string &) {
        streams.push_back(&it);
        if (streams.size() == 2)
            it.write(wholeAnswer);
    });
    const auto late = callOnce(loop, client, server.address(), 20ms);
    CHECK(late->end->phase == CallPhase::Sent);
    CHECK(late->end->failure->kind == FailureKind::Timeout);

    // The late answer arrives on the old connection; the next call must not see it.
    streams[0]->write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
    const auto next = callOnce(loop, client, server.address());
    CHECK(next->body == "ok");
    CHECK(server.accepted() == 2);
}

TEST_CASE("a body may take its time as long as it moves, and a stalled one is cut off")
{
    Loop loop;
    HttpClient client(loop, {});
    TcpStream *served = nullptr;
    RawServer server(loop, [&](TcpStream &it, const std::string &) { served = &it; });
    RecordingSink headless;
    client.start({ .address = server.address(), .timeout = 0s, .headTimeout = 20ms }, headless);
    runUntil(loop, [&] { return headless.end.has_value(); });
    CHECK(headless.end->failure->kind == FailureKind::Timeout);

    served = nullptr;
    RecordingSink sink;
    const auto call = client.start({ .address = server.address(),
                                     .timeout = 0s,
                                     .headTimeout = 30s,
                                     .stallTimeout = 50ms },
                                   sink);
    runUntil(loop, [&] { return served != nullptr; });
    served->write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\none");
    runUntil(loop, [&] { return sink.body == "one"; });
    // A paused call is not stalled, however long it waits.
    call->pause();
    bool isLater = false;
    loop.after(200ms, [&] { isLater = true; });
    runUntil(loop, [&] { return isLater; });
    CHECK_FALSE(sink.end);
    call->resume();
    runUntil(loop, [&] { return sink.end.has_value(); });
    CHECK(sink.end->phase == CallPhase::Body);
    CHECK(sink.end->failure->kind == FailureKind::Timeout);
}

TEST_CASE("a head that the sink refuses drops the connection")
{
    Loop loop;
    HttpClient client(loop, {});
    RawServer server(loop, [](TcpStream &it, const std::string &) { it.write(wholeAnswer); });
    RecordingSink sink;
    sink.isHeadWanted = false;
    client.start({ .address = server.address() }, sink);
    runUntil(loop, [&] { return sink.end.has_value(); });
    CHECK(sink.end->failure->kind == FailureKind::Protocol);
    CHECK(sink.body.empty());
    callOnce(loop, client, server.address());
    CHECK(server.accepted() == 2);
}

TEST_CASE("an answer that is sent twice does not become the answer of the next call")
{
    Loop loop;
    HttpClient client(loop, {});
    int n = 0;
    RawServer server(loop, [&](TcpStream &it, const std::string &) {
        const std::string body = std::to_string(++n);
        const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n" + body;
        it.write(answer + answer);
    });
    for (int i = 1; i <= 3; ++i)
        CHECK(callOnce(loop, client, server.address())->body == std::to_string(i));
}

TEST_CASE("a paused call slows the peer down and loses nothing")
{
    Loop loop;
    HttpClient client(loop, {});
    constexpr std::size_t whole = 64UL * 1024 * 1024;
    TcpStream *served = nullptr;
    RawServer server(loop, [&](TcpStream &it, const std::string &) {
        served = &it;
        it.write("HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(whole) + "\r\n\r\n");
        it.write(std::string(whole, 'p'));
    });
    /// Pauses at the first bytes.
    struct PausingSink : RecordingSink
    {
        void onBody(std::string_view bytes) override
        {
            RecordingSink::onBody(bytes);
            call->pause();
        }
        std::shared_ptr<HttpCall> call;
    } sink;
    sink.call = client.start({ .address = server.address() }, sink);
    runUntil(loop, [&] { return !sink.body.empty(); });
    for (int i = 0; i != 20; ++i)
        loop.runOnce(1ms);
    CHECK(sink.body.size() < whole);
    CHECK(served->backlog() != 0);
    runUntil(loop, [&] {
        sink.call->resume();
        return sink.end.has_value();
    });
    CHECK(sink.end->phase == CallPhase::Complete);
    CHECK(sink.body.size() == whole);
}

TEST_CASE("a call may be cancelled at any time, also from within its sink")
{
    /// Cancels itself at the step that it is told.
    struct CancellingSink : RecordingSink
    {
        void onSent() override { cancelAt(0); }
        bool onHead(const HttpHead &head) override
        {
            cancelAt(1);
            return RecordingSink::onHead(head);
        }
        void onBody(std::string_view bytes) override
        {
            RecordingSink::onBody(bytes);
            cancelAt(2);
        }
        void cancelAt(int now)
        {
            isCancelled = isCancelled || now == step;
            if (now == step && call)
                call->cancel();
        }
        int step = 0;
        bool isCancelled = false;
        std::shared_ptr<HttpCall> call;
    };
    for (const std::string_view answer :
         { wholeAnswer, std::string_view("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok") }) {
        for (int step = 0; step != 3; ++step) {
            Loop loop;
            HttpClient client(loop, {});
            RawServer server(loop, [&](TcpStream &it, const std::string &) { it.write(answer); });
            CancellingSink sink;
            sink.step = step;
            sink.call = client.start({ .address = server.address() }, sink);
            runUntil(loop, [&] { return sink.isCancelled; });
            for (int i = 0; i != 5; ++i)
                loop.runOnce(1ms);
            CHECK_FALSE(sink.end);
            CHECK(client.inProgress() == 0);
            sink.call->cancel();
        }
    }
}

TEST_CASE("an upgrade hands over the connection")
{
    Loop loop;
    HttpClient client(loop, {});
    RawServer server(loop, [](TcpStream &it, const std::string &) {
        it.write("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: "
                 "motion\r\n\r\nearly");
    });
    RecordingSink sink;
    const Header headers[] = { { "connection", "upgrade" }, { "upgrade", "motion" } };
    client.start({ .address = server.address(), .headers = headers, .timeout = 0s }, sink);
    runUntil(loop, [&] { return sink.stream != nullptr; });
    CHECK(sink.status == 101);
    std::string received;
    sink.stream->onRead([&](std::string_view bytes) { received.append(bytes); });
    runUntil(loop, [&] { return received == "early"; });
    CHECK_FALSE(sink.end);
    CHECK(client.inProgress() == 0);
}

TEST_CASE("a call whose peer switches protocols unasked ends")
{
    // Its caller heard nothing, neither an answer nor an end.
    Loop loop;
    HttpClient client(loop, {});
    RawServer server(loop, [](TcpStream &it, const std::string &) {
        it.write("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: a\r\n\r\n");
    });
    std::optional<HttpReply> reply;
    client.call({ .address = server.address(), .timeout = 1s },
                [&](const HttpReply &it) { reply = it; });
    runUntil(loop, [&] { return client.inProgress() == 0; });
    REQUIRE(reply.has_value());
    CHECK(reply->end.phase == CallPhase::Headers);
    REQUIRE(reply->end.failure.has_value());
    CHECK(reply->end.failure->kind == FailureKind::Protocol);
}

TEST_CASE("call() collects an answer and refuses one over the bound")
{
    Loop loop;
    HttpClient client(loop, { .mostCollectedBytes = 3 });
    RawServer server(loop, [n = 0](TcpStream &it, const std::string &) mutable {
        it.write(++n == 1 ? wholeAnswer
                          : "HTTP/1.1 200 OK\r\ntransfer-encoding: "
                            "chunked\r\n\r\n4\r\nlong\r\n0\r\n\r\n");
    });
    std::vector<HttpReply> replies;
    for (std::size_t i = 0; i != 2; ++i) {
        client.call({ .address = server.address() },
                    [&](const HttpReply &it) { replies.push_back(it); });
        runUntil(loop, [&] { return replies.size() == i + 1; });
    }
    CHECK(replies[0].status == 200);
    CHECK(replies[0].body == "ok");
    CHECK(replies[1].end.failure->kind == FailureKind::TooLarge);
}

TEST_CASE("calls beyond the limit of an address wait for their turn, in order")
{
    // Every start of a burst used to open a connection of its own, which then stayed.
    Loop loop;
    HttpClient client(loop, { .mostCallsPerAddress = 2 });
    std::vector<std::string> arrived;
    std::vector<TcpStream *> open;
    RawServer server(loop, [&](TcpStream &it, const std::string &request) {
        arrived.push_back(request.substr(5, 1));
        open.push_back(&it);
    });
    std::vector<int> statuses;
    for (const char *it : { "/0", "/1", "/2", "/3", "/4" })
        client.call({ .address = server.address(), .target = it },
                    [&](const HttpReply &reply) { statuses.push_back(reply.status); });
    runUntil(loop, [&] { return arrived.size() == 2; });
    for (int i = 0; i != 10; ++i)
        loop.runOnce(1ms);
    CHECK(arrived.size() == 2);
    for (std::size_t answered = 0; answered != 5; ++answered) {
        open[answered]->write(wholeAnswer);
        const std::size_t next = std::min<std::size_t>(answered + 3, 5);
        runUntil(loop, [&] { return arrived.size() == next; });
    }
    runUntil(loop, [&] { return statuses.size() == 5; });
    // The first two went out on connections of their own, which may overtake each other.
    std::sort(arrived.begin(), arrived.begin() + 2);
    CHECK(arrived == std::vector<std::string> { "0", "1", "2", "3", "4" });
    CHECK(server.accepted() == 2);
    CHECK(client.inProgress() == 0);
}

TEST_CASE("a call whose time is over while it waits for its turn was not sent")
{
    Loop loop;
    HttpClient client(loop, { .mostCallsPerAddress = 1 });
    RawServer server(loop, [](TcpStream &, const std::string &) {});
    RecordingSink first;
    const auto held = client.start({ .address = server.address() }, first);
    const auto late = callOnce(loop, client, server.address(), 50ms);
    CHECK(late->end->phase == CallPhase::NotConnected);
    CHECK(late->end->failure->kind == FailureKind::Timeout);
    held->cancel();
    // The place is free again.
    RecordingSink next;
    const auto call = client.start({ .address = server.address() }, next);
    runUntil(loop, [&] { return call->phase() == CallPhase::Sent; });
    call->cancel();
}

TEST_CASE("at the limit on connections idle ones are closed, the longest unused first")
{
    Loop loop;
    HttpClient client(loop, { .mostConnections = 8 });
    std::vector<std::unique_ptr<RawServer>> servers;
    for (int i = 0; i != 20; ++i)
        servers.push_back(std::make_unique<RawServer>(
                loop, [](TcpStream &it, const std::string &) { it.write(wholeAnswer); }));
    for (const auto &it : servers) {
        CHECK_FALSE(callOnce(loop, client, it->address())->end->failure);
        CHECK(client.connections() <= 8);
    }
    CHECK(client.counts().callsRefused == 0);
    CHECK(client.counts().poolsClosed >= 12);
    // The latest address still has its connection.
    CHECK_FALSE(callOnce(loop, client, servers.back()->address())->end->failure);
    CHECK(servers.back()->accepted() == 1);
    CHECK_FALSE(callOnce(loop, client, servers.front()->address())->end->failure);
    CHECK(servers.front()->accepted() == 2);
}

TEST_CASE("a call that finds the limit on connections taken by calls in progress was not sent")
{
    Loop loop;
    HttpClient client(loop, { .mostConnections = 2 });
    std::vector<std::unique_ptr<RawServer>> servers;
    for (int i = 0; i != 3; ++i)
        servers.push_back(
                std::make_unique<RawServer>(loop, [](TcpStream &, const std::string &) {}));
    std::array<RecordingSink, 2> sinks;
    std::vector<std::shared_ptr<HttpCall>> calls;
    for (std::size_t i = 0; i != 2; ++i)
        calls.push_back(client.start({ .address = servers[i]->address() }, sinks[i]));
    const auto refused = callOnce(loop, client, servers[2]->address());
    CHECK(refused->end->phase == CallPhase::NotConnected);
    CHECK(refused->end->failure->kind == FailureKind::Overloaded);
    CHECK(client.counts().callsRefused == 1);
    for (const auto &it : calls)
        it->cancel();
    const auto later = client.start({ .address = servers[2]->address() }, sinks[0]);
    runUntil(loop, [&] { return later->phase() == CallPhase::Sent; });
    later->cancel();
}

} // namespace acaciafork::net::test
