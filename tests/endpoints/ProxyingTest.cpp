#include "../net/NetFixtures.h"

#include "standins/StandinEndpoint.h"
#include "standins/StandinRouter.h"

namespace acaciafork::endpoints {

namespace {

using namespace std::chrono_literals;
using net::test::RawPeer;
using net::test::runUntil;
using standins::StandinEndpoint;
using standins::StandinEndpointSettings;
using standins::StandinRouter;

std::uint16_t listen(const std::function<Result<std::uint16_t>(const net::Address &)> &fn)
{
    const auto port = leaf::try_handle_all(
            [&]() -> Result<std::uint16_t> { return fn({ .host = "127.0.0.1", .port = 0 }); },
            [] { return std::uint16_t(0); });
    REQUIRE(port != 0);
    return port;
}

/// Whole path from a caller to a stand-in endpoint.
struct Path
{
    explicit Path(const StandinEndpointSettings &settings)
        : client(loop, {})
        , reporter(client, {})
        , endpoint(loop, reporter, settings)
        , router(loop, { .host = "127.0.0.1", .port = listen([this](const auto &it) {
                                                  return endpoint.start(it);
                                              }) })
        , port(listen([this](const auto &it) { return router.server().listen(it); }))
    { }

    net::Loop loop;
    net::HttpClient client;
    standins::StandinReporter reporter;
    StandinEndpoint endpoint;
    StandinRouter router;
    std::uint16_t port;
};

std::string get(int number, std::string_view target = "/svc/")
{
    return "GET " + std::string(target)
            + " HTTP/1.1\r\nhost: x\r\nx-standin-request: " + std::to_string(number) + "\r\n\r\n";
}

} // namespace

TEST_CASE("every caller gets the whole answer to its own request, or is told that it is unknown")
{
    for (const bool isFaulty : { false, true }) {
        StandinEndpointSettings settings { .meanServiceTime = 1ms,
                                           .answerBytes = 2'000,
                                           .seed = 7 };
        if (isFaulty) {
            settings.cross = 0.2;
            settings.truncate = 0.2;
            settings.repeat = 0.2;
        }
        Path path(settings);
        int answered = 0;
        int unknown = 0;
        int broken = 0;
        for (int round = 0; round != 10; ++round) {
            std::vector<std::unique_ptr<RawPeer>> peers;
            for (int i = 0; i != 8; ++i) {
                peers.push_back(std::make_unique<RawPeer>(path.loop, path.port));
                peers.back()->stream->write(get(round * 100 + i));
            }
            // The odd one of a crossed pair waits for its partner; a further request brings one.
            RawPeer partner(path.loop, path.port);
            partner.stream->write(get(round * 100 + 99));
            for (int i = 0; i != 8; ++i) {
                RawPeer &peer = *peers[static_cast<std::size_t>(i)];
                const auto isWhole = [&peer] {
                    const auto body = peer.received.find("\r\n\r\n");
                    return body != std::string::npos
                            && (peer.received.size() >= body + 4 + 2'000
                                || peer.received.find("}}") != std::string::npos);
                };
                const Timestamp latest = net::Loop::now() + 2s;
                while (!isWhole() && !peer.isEnded && net::Loop::now() < latest)
                    path.loop.runOnce(5ms);
                const std::string own = R"("request":")" + std::to_string(round * 100 + i) + "\"";
                const bool isAnswer =
                        peer.received.find("acaciafork-outcome: answered") != std::string::npos;
                if (isAnswer && isWhole()) {
                    ++answered;
                    CHECK(peer.received.find(own) != std::string::npos);
                } else if (isAnswer) {
                    ++broken;
                } else {
                    ++unknown;
                    CHECK(peer.received.find(R"("request")") == std::string::npos);
                }
            }
        }
        CHECK(answered + unknown + broken == 80);
        CHECK((unknown + broken > 0) == isFaulty);
        CHECK(answered > 0);
    }
}

TEST_CASE("a large answer to a slow caller passes with flat memory")
{
    constexpr std::size_t whole = 64UL * 1024 * 1024;
    Path path({ .meanServiceTime = 0ms, .answerBytes = whole });
    RawPeer peer(path.loop, path.port);
    peer.stream->write(get(1));
    peer.stream->pauseReading();
    for (int i = 0; i != 50; ++i)
        path.loop.runOnce(1ms);
    CHECK(path.router.inProgress() == 1);
    peer.stream->resumeReading();
    runUntil(path.loop, [&] { return peer.received.size() > whole; });
    // What one read of the endpoint's connection gave may wait, and no more.
    CHECK(path.router.mostBacklog() <= 2UL * 1024 * 1024);
    CHECK(path.router.inProgress() == 0);
}

TEST_CASE("a caller that goes away ends the attempt")
{
    Path path({ .meanServiceTime = 200ms });
    auto peer = std::make_unique<RawPeer>(path.loop, path.port);
    peer->stream->write(get(1));
    runUntil(path.loop, [&] { return path.router.inProgress() == 1; });
    peer.reset();
    runUntil(path.loop, [&] { return path.router.inProgress() == 0; });
    RawPeer next(path.loop, path.port);
    next.exchange(get(2), R"("request":"2")");
}

TEST_CASE("a graceful shutdown cuts off no request that is passed on")
{
    Path path({ .meanServiceTime = 50ms, .answerBytes = 100'000 });
    std::vector<std::unique_ptr<RawPeer>> peers;
    for (int i = 0; i != 5; ++i) {
        peers.push_back(std::make_unique<RawPeer>(path.loop, path.port));
        peers.back()->stream->write(get(i));
    }
    runUntil(path.loop, [&] { return path.router.inProgress() == 5; });
    bool isDrained = false;
    path.router.server().drain([&] { isDrained = true; });
    runUntil(path.loop, [&] { return isDrained; });
    for (const auto &it : peers) {
        runUntil(path.loop, [&] { return it->isEnded; });
        CHECK(it->received.size() > 100'000);
    }
}

TEST_CASE("a two-way stream passes through and outlives the drain of the entry")
{
    Path path({});
    RawPeer peer(path.loop, path.port);
    peer.exchange(
            "GET /svc/record HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: motion\r\n\r\n",
            "\r\n\r\n");
    CHECK(peer.received.starts_with("HTTP/1.1 101"));
    peer.exchange("frame one", "frame one");
    CHECK(path.router.streams() == 1);
    bool isDrained = false;
    path.router.server().drain([&] { isDrained = true; });
    runUntil(path.loop, [&] { return isDrained; });
    peer.exchange("frame two", "frame two");
    peer.stream->endWrite();
    runUntil(path.loop, [&] { return peer.isEnded && path.router.streams() == 0; });
}

} // namespace acaciafork::endpoints
