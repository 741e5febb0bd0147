#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../net/NetFixtures.h"

#include "acaciafork/endpoints/Endpoints.h"

namespace acaciafork::endpoints {

namespace {

using net::CallPhase;
using net::Loop;
using net::TcpStream;
using net::test::RawServer;
using net::test::runUntil;

/// Sink that keeps all that an attempt shows.
struct RecordingSink : AttemptSink
{
    void onHead(const net::HttpHead &head) override { status = head.status; }
    void onBody(std::string_view bytes) override { body.append(bytes); }
    void onUpgraded(std::unique_ptr<TcpStream> it) override { stream = std::move(it); }
    void onEnd(const AttemptEnd &it) override { end = it; }

    int status = 0;
    std::string body;
    std::unique_ptr<TcpStream> stream;
    std::optional<AttemptEnd> end;
};

/// The attempt's id as the head of its request names it.
std::string attemptIn(const std::string &head)
{
    const std::string name = std::string(attemptHeader) + ": ";
    const auto at = head.find(name) + name.size();
    return head.substr(at, head.find("\r\n", at) - at);
}

std::string answer(const std::string &attempt, std::string_view rest)
{
    return "HTTP/1.1 200 OK\r\nacaciafork-attempt: " + attempt + "\r\n" + std::string(rest);
}

/// One attempt at an endpoint that follows `script`.
std::unique_ptr<RecordingSink> attemptOnce(Loop &loop, EndpointClient &client,
                                           const net::Address &address, std::uint64_t id,
                                           Duration timeout = std::chrono::seconds(30))
{
    auto sink = std::make_unique<RecordingSink>();
    client.startAttempt({ .attempt = { id }, .address = address, .path = "/a", .timeout = timeout },
                        *sink);
    runUntil(loop, [&] { return sink->end.has_value(); });
    return sink;
}

} // namespace

TEST_CASE("an answer that names the attempt passes, and the connection is kept")
{
    Loop loop;
    EndpointClient client(loop, {});
    RawServer endpoint(loop, [](TcpStream &it, const std::string &head) {
        it.write(answer(attemptIn(head), "content-length: 2\r\n\r\nok"));
    });
    for (std::uint64_t id = 1; id != 4; ++id) {
        const auto sink = attemptOnce(loop, client, endpoint.address(), id);
        CHECK(sink->end->attempt == AttemptId { id });
        CHECK_FALSE(sink->end->failure);
        CHECK(sink->end->phase == CallPhase::Complete);
        CHECK(sink->body == "ok");
    }
    CHECK(endpoint.accepted() == 1);
}

TEST_CASE("an answer of another attempt, or of none, is dropped with its connection")
{
    const std::string heads[] = {
        answer("999", "content-length: 2\r\n\r\nno"),
        answer("1x", "content-length: 2\r\n\r\nno"),
        answer("", "content-length: 2\r\n\r\nno"),
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno",
    };
    for (const auto &crossed : heads) {
        Loop loop;
        EndpointClient client(loop, {});
        int n = 0;
        RawServer endpoint(loop, [&](TcpStream &it, const std::string &head) {
            it.write(++n == 1 ? crossed : answer(attemptIn(head), "content-length: 2\r\n\r\nok"));
        });
        const auto sink = attemptOnce(loop, client, endpoint.address(), 1);
        CHECK(sink->end->failure == AttemptFailure::Mismatched);
        CHECK(sink->status == 0);
        CHECK(sink->body.empty());
        CHECK(attemptOnce(loop, client, endpoint.address(), 2)->body == "ok");
        CHECK(endpoint.accepted() == 2);
    }
}

TEST_CASE("a late answer does not reach the attempt after it")
{
    Loop loop;
    EndpointClient client(loop, {});
    std::vector<std::pair<TcpStream *, std::string>> asked;
    RawServer endpoint(loop, [&](TcpStream &it, const std::string &head) {
        asked.emplace_back(&it, attemptIn(head));
        if (asked.size() == 2) {
            // Both answers go out now, the first one late and on its own connection.
            asked[0].first->write(answer(asked[0].second, "content-length: 4\r\n\r\nlate"));
            it.write(answer(asked[1].second, "content-length: 2\r\n\r\nok"));
        }
    });
    const auto first =
            attemptOnce(loop, client, endpoint.address(), 1, std::chrono::milliseconds(20));
    CHECK(first->end->failure == AttemptFailure::Timeout);
    CHECK(first->end->phase == CallPhase::Sent);
    CHECK(attemptOnce(loop, client, endpoint.address(), 2)->body == "ok");
}

TEST_CASE("an attempt tells whether the endpoint can have begun")
{
    Loop loop;
    EndpointClient client(loop, {});
    net::Address gone;
    {
        RawServer endpoint(loop, [](TcpStream &, const std::string &) {});
        gone = endpoint.address();
    }
    CHECK(attemptOnce(loop, client, gone, 1)->end->failure == AttemptFailure::NotConnected);

    RawServer resetting(loop, [](TcpStream &it, const std::string &) { it.reset(); });
    const auto sink = attemptOnce(loop, client, resetting.address(), 2);
    CHECK(sink->end->failure == AttemptFailure::Lost);
    CHECK(sink->end->phase == CallPhase::Sent);
}

TEST_CASE("a stream passes both ways, and each direction ends on its own")
{
    Loop loop;
    EndpointClient client(loop, {});
    TcpStream *endpointSide = nullptr;
    std::string atEndpoint;
    RawServer endpoint(loop, [&](TcpStream &it, const std::string &head) {
        endpointSide = &it;
        it.write("HTTP/1.1 101 Switching Protocols\r\nacaciafork-attempt: " + attemptIn(head)
                 + "\r\nconnection: upgrade\r\nupgrade: motion\r\n\r\n");
        it.onRead([&](std::string_view bytes) {
            atEndpoint.append(bytes.empty() ? "<end>" : bytes);
        });
    });
    RecordingSink sink;
    client.startAttempt(
            { .attempt = { 1 }, .address = endpoint.address(), .upgradeProtocol = "motion" }, sink);
    runUntil(loop, [&] { return sink.stream != nullptr; });
    CHECK(client.inProgress() == 0);

    // A plain connection stands for the caller's side of the tunnel.
    std::unique_ptr<TcpStream> callerInner;
    TcpStream *caller = nullptr;
    RawServer callerServer(loop, [&](TcpStream &it, const std::string &) { caller = &it; });
    TcpStream::connect(loop, callerServer.address(), [&](auto it) { callerInner = std::move(it); });
    runUntil(loop, [&] { return callerInner != nullptr; });
    callerInner->write("\r\n\r\n");
    runUntil(loop, [&] { return caller != nullptr; });
    std::string atCaller;
    caller->onRead(
            [&](std::string_view bytes) { atCaller.append(bytes.empty() ? "<end>" : bytes); });

    std::optional<TunnelEnd> end;
    const std::uint64_t before = callerInner->bytesWritten();
    StreamTunnel tunnel(std::move(callerInner), std::move(sink.stream),
                        [&](const TunnelEnd &it) { end = it; });
    tunnel.start();
    caller->write("up");
    endpointSide->write("down");
    runUntil(loop, [&] { return atEndpoint == "up" && atCaller == "down"; });
    caller->endWrite();
    runUntil(loop, [&] { return atEndpoint == "up<end>"; });
    CHECK_FALSE(end);
    endpointSide->write(" more");
    endpointSide->endWrite();
    runUntil(loop, [&] { return end && atCaller == "down more<end>"; });
    CHECK(end->isClean);
    CHECK(end->bytesToEndpoint == 2);
    CHECK(end->bytesToCaller - before == 9);
}

TEST_CASE("an announcement is decoded, or refused with the field at fault")
{
    const Announcement whole { .endpoint = { "e1" },
                               .service = { "loopdraw" },
                               .address = { .host = "127.0.0.1", .port = 80 },
                               .incarnation = { 7 },
                               .sequence = 3,
                               .zone = { "a" },
                               .rack = { "r1" },
                               .slots = 8,
                               .connections = 64,
                               .inProgress = 2,
                               .state = EndpointState::Leaving };
    const auto problemOf = [](std::string_view id, std::string_view json) {
        return leaf::try_handle_all(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(it, decodeAnnouncement(id, json));
                    return encodeAnnouncement(it);
                },
                [](const Failure &failure) { return failure.detail; },
                [] { return std::string("?"); });
    };
    const std::string json = encodeAnnouncement(whole);
    CHECK(problemOf("e1", json) == json);
    CHECK(problemOf("", json).find("endpoint id") != std::string::npos);
    CHECK(problemOf("e1", "{").find("malformed JSON") != std::string::npos);
    CHECK(problemOf("e1", "[]").find("object") != std::string::npos);
    const std::pair<std::string, std::string> faults[] = {
        { R"("slots":8)", R"("slots":0)" },
        { R"("slots":8)", R"("slots":-8)" },
        { R"("slots":8)", R"("slots":1e30)" },
        { R"("slots":8)", R"("slots":"8")" },
        { R"("state":"leaving")", R"("state":"away")" },
        { R"("address":"127.0.0.1:80")", R"("address":"localhost:80")" },
        { R"("service":"loopdraw")", R"("service":"")" },
        { R"("rack":"r1",)", "" },
    };
    for (const auto &[good, bad] : faults) {
        std::string changed = json;
        changed.replace(changed.find(good), good.size(), bad);
        CHECK(problemOf("e1", changed)
                      .starts_with("field " + good.substr(1, good.find('"', 1) - 1)));
    }
}

} // namespace acaciafork::endpoints
