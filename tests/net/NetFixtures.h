#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "acaciafork/net/Net.h"

namespace acaciafork::net::test {

/// Turns the loop until `isDone`; fails the test when that does not come for far longer than
/// needed.
inline void runUntil(Loop &loop, const std::function<bool()> &isDone)
{
    const Timestamp latest = Loop::now() + std::chrono::seconds(60);
    while (!isDone() && Loop::now() < latest)
        loop.runOnce(std::chrono::milliseconds(20));
    REQUIRE(isDone());
}

/// Port of a server that listens on loopback.
inline std::uint16_t listenOnLoopback(HttpServer &server)
{
    return leaf::try_handle_all(
            [&]() -> Result<std::uint16_t> {
                return server.listen({ .host = "127.0.0.1", .port = 0 });
            },
            [] { return std::uint16_t(0); });
}

/// Raw connection that sends what it is told and keeps all that comes.
struct RawPeer
{
    RawPeer(Loop &aLoop, std::uint16_t port)
        : loop(aLoop)
    {
        TcpStream::connect(loop, { .host = "127.0.0.1", .port = port },
                           [this](std::unique_ptr<TcpStream> it) { stream = std::move(it); });
        runUntil(loop, [this] { return stream != nullptr; });
        stream->onRead([this](std::string_view bytes) {
            isEnded = isEnded || bytes.empty();
            received.append(bytes);
        });
        stream->onBroken([this] { isEnded = true; });
    }

    /// Sends and waits until `text` has arrived.
    void exchange(std::string_view bytes, std::string_view text)
    {
        stream->write(bytes);
        runUntil(loop, [&] { return received.find(text) != std::string::npos || isEnded; });
        CHECK_MESSAGE(received.find(text) != std::string::npos, received);
    }

    Loop &loop;
    std::unique_ptr<TcpStream> stream;
    std::string received;
    bool isEnded = false;
};

/// Server of bytes: accepts one connection after another and answers each request head by a script.
class RawServer
{
public:
    /// Called with each piece read and the connection, to answer or break it.
    using Script = std::function<void(TcpStream &, const std::string &)>;

    RawServer(Loop &loop, Script script);

    /// Where it listens.
    [[nodiscard]] Address address() const { return { .host = "127.0.0.1", .port = m_port }; }

    /// Connections accepted so far.
    [[nodiscard]] std::size_t accepted() const { return m_streams.size(); }

private:
    void accept(std::unique_ptr<TcpStream> accepted);

    Script m_script;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<TcpStream>> m_streams;
    TcpListener m_listener;
};

/// Sink that keeps all that a call shows.
struct RecordingSink : HttpCallSink
{
    bool onHead(const HttpHead &head) override
    {
        status = head.status;
        return isHeadWanted;
    }
    void onBody(std::string_view bytes) override { body.append(bytes); }
    void onEnd(const CallEnd &callEnd) override { end = callEnd; }
    void onUpgraded(std::unique_ptr<TcpStream> it) override { stream = std::move(it); }

    bool isHeadWanted = true;
    int status = 0;
    std::string body;
    std::optional<CallEnd> end;
    std::unique_ptr<TcpStream> stream;
};

} // namespace acaciafork::net::test
