#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../net/NetFixtures.h"

#include "acaciafork/callers/Callers.h"

namespace acaciafork::callers {

namespace {

using net::test::RawPeer;
using net::test::runUntil;

/// Handler that keeps what it is given, in copies, and answers as the test says.
struct RecordingHandler : CallerHandler
{
    void onCallerRequest(const CallerRequest &request,
                         std::shared_ptr<CallerExchange> exchange) override
    {
        requests.push_back(request);
        services.emplace_back(request.service);
        paths.emplace_back(request.path);
        exchanges.push_back(std::move(exchange));
    }
    void onApi(std::shared_ptr<net::HttpExchange> exchange) override
    {
        exchange->answerJson(200, "{}");
    }
    HealthAnswer health() override { return healthAnswer; }
    std::string metrics() override { return "acaciafork_x 1\n"; }

    std::vector<CallerRequest> requests;
    std::vector<std::string> services;
    std::vector<std::string> paths;
    std::vector<std::shared_ptr<CallerExchange>> exchanges;
    HealthAnswer healthAnswer { .isReady = true, .state = "ready" };
};

struct Fixture
{
    Fixture()
        : server(loop, {}, handler, [this] { return RequestId { ++lastId }; })
    {
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(port, server.listen({ .host = "127.0.0.1", .port = 0 }));
                    return {};
                },
                [] { FAIL("cannot listen"); });
    }

    std::shared_ptr<CallerExchange> next()
    {
        const std::size_t n = taken++;
        runUntil(loop, [&] { return handler.exchanges.size() > n; });
        return handler.exchanges[n];
    }

    net::Loop loop;
    RecordingHandler handler;
    std::uint64_t lastId = 100;
    CallerServer server;
    std::uint16_t port = 0;
    std::size_t taken = 0;
};

std::string get(std::string_view target, std::string_view headers = {},
                std::string_view method = "GET")
{
    return std::string(method) + " " + std::string(target) + " HTTP/1.1\r\nhost: x\r\n"
            + std::string(headers) + "\r\n";
}

} // namespace

TEST_CASE("a request is taken apart by its path and headers")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    peer.stream->write(
            get("/svc/a/b?c=d",
                "Idempotency-Key: k1\r\nAcaciafork-Timeout-Ms: 250\r\nAcaciafork-Class: batch\r\n",
                "POST"));
    const auto exchange = fixture.next();
    const CallerRequest &request = fixture.handler.requests[0];
    CHECK(fixture.handler.services[0] == "svc");
    CHECK(fixture.handler.paths[0] == "/a/b?c=d");
    CHECK(request.idempotencyKey == "k1");
    CHECK_FALSE(request.isIdempotent);
    CHECK(request.timeout == std::chrono::milliseconds(250));
    CHECK(request.requestClass == RequestClass::Batch);

    // Headers of an endpoint's connection and of ours do not pass.
    const net::Header headers[] = { { "x-own", "1" },
                                    { "connection", "close" },
                                    { "acaciafork-outcome", "unknown" },
                                    { "acaciafork-attempt", "7" } };
    exchange->beginAnswer(200, headers, 5);
    exchange->write("hello");
    exchange->finish();
    peer.exchange("", "hello");
    CHECK(peer.received.find("x-own: 1") != std::string::npos);
    CHECK(peer.received.find("acaciafork-outcome: answered") != std::string::npos);
    CHECK(peer.received.find("acaciafork-request-id: 101") != std::string::npos);
    CHECK(peer.received.find("unknown") == std::string::npos);
    CHECK(peer.received.find("acaciafork-attempt") == std::string::npos);
}

TEST_CASE("the method decides on idempotency unless the caller does")
{
    const std::pair<std::string, std::string> cases[] = {
        { "GET", "" },  { "PUT", "" },   { "DELETE", "" },   { "POST", "true" },
        { "POST", "" }, { "PATCH", "" }, { "GET", "false" },
    };
    for (std::size_t i = 0; i != std::size(cases); ++i) {
        Fixture fixture;
        RawPeer peer(fixture.loop, fixture.port);
        const auto &[method, flag] = cases[i];
        peer.stream->write(get(
                "/svc/", flag.empty() ? "" : "Acaciafork-Idempotent: " + flag + "\r\n", method));
        fixture.next();
        CHECK(fixture.handler.requests[0].isIdempotent == (i < 4));
    }
}

TEST_CASE("wrong input is refused with a typed error, and the next request passes")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    const std::string wrong[] = {
        get("/"),
        get("//a"),
        get("/s%20x/"),
        get("/svc/", "Acaciafork-Timeout-Ms: 0\r\n"),
        get("/svc/", "Acaciafork-Timeout-Ms: 99999999999999999999\r\n"),
        get("/svc/", "Acaciafork-Timeout-Ms: 1s\r\n"),
        get("/svc/", "Acaciafork-Class: fast\r\n"),
        get("/svc/", "Acaciafork-Idempotent: yes\r\n"),
        get("/svc/", "Idempotency-Key: " + std::string(257, 'k') + "\r\n"),
    };
    for (const auto &it : wrong) {
        peer.received.clear();
        peer.exchange(it, R"("kind":"invalid-argument")");
        CHECK(peer.received.starts_with("HTTP/1.1 400"));
        CHECK(peer.received.find("acaciafork-outcome: not-run") != std::string::npos);
    }
    CHECK(fixture.handler.requests.empty());
    peer.stream->write(get("/svc"));
    fixture.next();
    CHECK(fixture.handler.paths[0] == "/");
}

TEST_CASE("an answer says what became of the request")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    const auto answered = [&](const std::function<void(CallerExchange &)> &fn) {
        peer.received.clear();
        peer.stream->write(get("/svc/"));
        fn(*fixture.next());
        runUntil(fixture.loop, [&] { return peer.received.find("}}") != std::string::npos; });
        return peer.received;
    };
    const std::string busy = answered([](CallerExchange &it) {
        it.answerNotRun(FailureKind::Overloaded, std::chrono::milliseconds(1'200));
    });
    CHECK(busy.starts_with("HTTP/1.1 429"));
    CHECK(busy.find("acaciafork-outcome: not-run") != std::string::npos);
    CHECK(busy.find("retry-after: 2") != std::string::npos);
    const std::string none = answered([](CallerExchange &it) {
        it.answerNotRun(FailureKind::NotReady, std::chrono::seconds(1));
    });
    CHECK(none.starts_with("HTTP/1.1 503"));
    const std::string late =
            answered([](CallerExchange &it) { it.answerUnknown(FailureKind::Timeout); });
    CHECK(late.starts_with("HTTP/1.1 504"));
    CHECK(late.find("acaciafork-outcome: unknown") != std::string::npos);
    const std::string lost =
            answered([](CallerExchange &it) { it.answerUnknown(FailureKind::Protocol); });
    CHECK(lost.starts_with("HTTP/1.1 502"));
}

TEST_CASE("a failure after the answer has begun cuts it off visibly")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    peer.stream->write(get("/svc/"));
    const auto exchange = fixture.next();
    exchange->beginAnswer(200, {}, std::nullopt);
    exchange->write("part");
    peer.exchange("", "part");
    exchange->answerUnknown(FailureKind::Protocol);
    runUntil(fixture.loop, [&] { return peer.isEnded; });
    CHECK(peer.received.find("0\r\n\r\n") == std::string::npos);
    CHECK(peer.received.find("error") == std::string::npos);
}

TEST_CASE("health, metrics and the interface of the system have their own paths")
{
    Fixture fixture;
    RawPeer peer(fixture.loop, fixture.port);
    peer.exchange(get("/healthz"), "ready");
    CHECK(peer.received.starts_with("HTTP/1.1 200"));
    peer.received.clear();
    fixture.handler.healthAnswer = { .isReady = false, .state = "draining" };
    peer.exchange(get("/healthz"), "draining");
    CHECK(peer.received.starts_with("HTTP/1.1 503"));
    peer.received.clear();
    peer.exchange(get("/metrics"), "acaciafork_x 1");
    peer.received.clear();
    peer.exchange(get("/acaciafork/v1/jobs"), "{}");
    CHECK(fixture.handler.requests.empty());
}

} // namespace acaciafork::callers
