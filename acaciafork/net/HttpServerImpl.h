#pragma once

#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciafork/net/H2o.h"
#include "acaciafork/net/HttpServer.h"
#include "acaciafork/net/Lingering.h"
#include "acaciafork/net/Loop.h"

namespace acaciafork::net {

/// One accepted connection as the server sees it; h2o has its own view of it.
struct ServerConnection
{
    HttpServer::Impl *server = nullptr;
    h2o_socket_t *socket = nullptr;
    /// The request in progress, or null while the next one is awaited or arriving.
    HttpExchange *current = nullptr;
    /// What h2o wants called with new bytes; they go there once the head has passed the gate.
    h2o_socket_cb gatedRead = nullptr;
    /// Length of the body that is arriving or being worked on; 0 for a chunked one.
    std::int64_t reservedBytes = 0;
    /// When bytes of an unfinished request were first seen; the epoch while there are none.
    Timestamp arrivingSince;
    /// When the connection became idle; the epoch until the watch has seen it.
    Timestamp idleSince;
    /// True when the connection is on its way to be closed.
    bool isClosing = false;
};

/// The work behind HttpServer: accepting and handing over in HttpServer.cpp, the watch over
/// unfinished requests in HttpServerGuard.cpp.
class HttpServer::Impl
{
public:
    Impl(Loop &loop, HttpServerSettings settings, Handler handler);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<std::uint16_t> listen(const Address &address);
    void drain(std::function<void()> done);

    Loop &loop;
    const HttpServerSettings settings;
    Handler handler;
    std::unordered_map<h2o_socket_t *, std::unique_ptr<ServerConnection>> connections;
    std::size_t inProgress = 0;
    /// Bodies whose length was given: what they take when they are whole.
    std::int64_t reservedBytes = 0;
    /// Bodies sent in chunks: what they took at the last look.
    std::int64_t chunkedBytes = 0;
    HttpServerCounts counts;

private:
    struct Native;

    // Accepting and handing over.
    static void handleReadable(h2o_socket_t *listener, const char *error);
    static int handleRequest(h2o_handler_t *self, h2o_req_t *req);
    static void handleErrorAnswer(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot);
    void stopListening();
    void pauseAccepting();
    void requestShutdown();
    void accept(h2o_socket_t *socket);
    void begin(h2o_req_t *req, ServerConnection &connection);
    void endExchange(ServerConnection &connection, bool isUpgraded);

    // The gate that each head passes before h2o gets it.
    static void handleHeadBytes(h2o_socket_t *socket, const char *error);
    void closeGate(ServerConnection &connection);
    void openGate(ServerConnection &connection, const char *error);
    void closeGates();
    void checkHead(ServerConnection &connection);
    bool admitBody(ServerConnection &connection, std::span<const phr_header> headers);
    void release(ServerConnection &connection);

    // The watch.
    void tick();
    void watchArrivals(Timestamp now);
    void enforceBudget();
    void watchPeers();
    void watchSending(Timestamp now);
    void closeIdle(Timestamp now);
    void refuse(ServerConnection &connection, int status, FailureKind kind,
                std::string_view detail);
    void handleClosed(ServerConnection *connection);
    void finishDrain();

    Native *m_native;
    h2o_socket_t *m_listener = nullptr;
    TimerId m_ticker;
    std::uint64_t m_ticks = 0;
    std::vector<h2o_socket_t *> m_ungated;
    bool m_isDraining = false;
    /// A draining server keeps idle connections until then.
    Timestamp m_lingersUntil;
    std::function<void()> m_drained;
    Lingering m_lingering;
    /// Tells the function at the end of each turn that the server is gone.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace acaciafork::net
