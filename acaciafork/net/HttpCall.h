#pragma once

#include <memory>
#include <string>

#include "acaciafork/net/HttpClient.h"
#include "acaciafork/net/Loop.h"

struct st_h2o_http1client_t;
struct st_h2o_header_t;
struct st_h2o_iovec_t;
struct st_h2o_socket_t;

namespace acaciafork::net {

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

    void buildRequest(const HttpRequest &request);
    void fail(FailureKind kind, std::string detail);
    void end(CallEnd end);
    void drop();
    bool handleHead(const char *error, int status, st_h2o_header_t *headers, std::size_t count,
                    int headSize);
    void handleBody(const char *error);
    void deliverInput();

    HttpCallSink *m_sink;
    HttpClient::Impl *m_owner = nullptr;
    st_h2o_http1client_t *m_client = nullptr;
    CallPhase m_phase = CallPhase::NotConnected;
    bool m_isHead = false;
    bool m_isUpgrade = false;
    bool m_isPaused = false;
    void (*m_resumeRead)(st_h2o_socket_t *, const char *) = nullptr;
    TimerId m_deadline;
    TimerId m_connectDeadline;
    std::string m_request;
};

} // namespace acaciafork::net
