#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "acaciafork/net/HttpClient.h"
#include "acaciafork/net/Loop.h"

struct st_h2o_header_t;
struct st_h2o_http1client_t;
struct st_h2o_socket_t;

namespace acaciafork::net {

class AddressPool;

/// One request of a client and the answer to it.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    /// Reads no more of the answer until resume(), so that the peer is slowed down.
    void pause();

    /// Reads on after pause().
    void resume();

    /// Ends the call and its connection; the sink is not called again.
    void cancel();

    /// How far it came.
    [[nodiscard]] CallPhase phase() const { return m_phase; }

    /// True until the end was shown or cancel() was called.
    [[nodiscard]] bool isOpen() const { return m_sink != nullptr; }

private:
    friend class HttpClient;
    struct Callbacks;

    explicit HttpCall(HttpCallSink *sink)
        : m_sink(sink)
    { }

    void begin(const HttpRequest &request, AddressPool *pool);
    /// Takes or makes a connection, or waits for a place at the address.
    void connect();
    void buildRequest(const HttpRequest &request);
    void failWith(FailureKind kind, std::string detail);
    void end(const CallEnd &end);
    void forget();
    void closeConnection();
    void retire();
    void stopReading();
    bool handleConnected(const char *error);
    bool handleHead(const char *error, int status, st_h2o_header_t *headers, std::size_t count,
                    int headSize);
    bool handleBody(const char *error);
    void deliverInput();
    void watchReads();
    void watchStall();
    void endByError(const char *error);

    HttpCallSink *m_sink;
    /// The sink, where it belongs to the call; it goes with the call's end.
    std::shared_ptr<HttpCallSink> m_ownSink;
    HttpClient::Impl *m_owner = nullptr;
    AddressPool *m_pool = nullptr;
    /// The call is in progress at its address; it gives the place back at its end.
    bool m_hasPlace = false;
    st_h2o_http1client_t *m_client = nullptr;
    CallPhase m_phase = CallPhase::NotConnected;
    bool m_isHeadMethod = false;
    bool m_isPaused = false;
    /// True within a call from h2o, which then closes the connection itself when told to.
    bool m_isInCallback = false;
    /// True when the last byte has arrived while the call was paused.
    bool m_isEndHeld = false;
    std::string m_held;
    /// What h2o wants called with new bytes while the call is paused.
    void (*m_pausedRead)(st_h2o_socket_t *, const char *) = nullptr;
    /// What h2o wants called with new bytes of the body.
    void (*m_bodyRead)(st_h2o_socket_t *, const char *) = nullptr;
    /// True when h2o is being told that reading has failed or ended.
    bool m_hasReadFailed = false;
    bool m_isChunked = false;
    Duration m_stallTimeout = Duration::zero();
    bool m_hasMoved = false;
    TimerId m_deadline;
    TimerId m_headDeadline;
    TimerId m_stallTimer;
    TimerId m_connectDeadline;
    std::string m_request;
};

} // namespace acaciafork::net
