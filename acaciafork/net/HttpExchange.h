#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Time.h"
#include "acaciafork/net/Address.h"
#include "acaciafork/net/HttpTypes.h"

struct st_h2o_req_t;

namespace acaciafork::net {

class TcpStream;

/// One request at a server and the answer to it. Views of the request are valid while isOpen().
/// Every call on a closed exchange does nothing, so a holder need not watch for the end.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    explicit HttpExchange(st_h2o_req_t *req);
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// False once the answer is sent whole or the connection is gone.
    [[nodiscard]] bool isOpen() const { return m_req != nullptr; }

    /// True once the peer has closed the connection or its sending side. Asks the kernel, so that a
    /// close counts from its arrival on.
    [[nodiscard]] bool isPeerGone() const;

    /// Method, such as "GET".
    [[nodiscard]] std::string_view method() const;
    /// Path with the query, as the peer wrote it.
    [[nodiscard]] std::string_view target() const;
    /// Host that the request names, without its port; empty when it names none.
    [[nodiscard]] std::string_view host() const;
    /// Headers in the order received, names in lower case; Host is not among them.
    [[nodiscard]] std::span<const Header> headers() const { return m_headers; }
    /// Value of the first header of that name, or an empty view.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The whole body.
    [[nodiscard]] std::string_view body() const;
    /// Value of the Upgrade header, or an empty view.
    [[nodiscard]] std::string_view upgradeProtocol() const;
    /// Where the connection comes from.
    [[nodiscard]] Address remoteAddress() const;

    /// Sends a whole answer.
    void answer(int status, std::span<const Header> headers, std::string_view body);

    /// Sends a JSON answer.
    void answerJson(int status, std::string_view json);

    /// Sends a failure as JSON, with the status of its kind.
    void answerFailure(FailureKind kind, std::string_view detail);

    /// Begins an answer that write() and finish() complete.
    /// @param[in] contentLength its length, where known; else it is sent in chunks
    void begin(int status, std::span<const Header> headers,
               std::optional<std::uint64_t> contentLength);

    /// Sends a copy of the next bytes of the answer.
    void write(std::string_view bytes);

    /// Bytes written that have not left yet; a writer waits with more until onDrained().
    [[nodiscard]] std::size_t backlog() const { return m_inFlight.size() + m_pending.size(); }

    /// Ends the answer as a whole one.
    void finish();

    /// Breaks the answer off so that the peer sees that it is not whole.
    void abort();

    /// Answers 101 and hands over the connection; `fn` gets null when it was lost meanwhile.
    void upgrade(std::span<const Header> headers,
                 std::function<void(std::unique_ptr<TcpStream>)> fn);

    /// True once begin(), answer() or upgrade() was called.
    [[nodiscard]] bool isBegun() const { return m_isBegun; }

    /// `fn` is called each time that all written bytes have left.
    void onDrained(std::function<void()> fn) { m_onDrained = std::move(fn); }

    /// `fn` is called once when the peer has gone before the end of the answer. The exchange may
    /// still be open: a peer that closed its sending side only can be answered.
    void onGone(std::function<void()> fn) { m_onGone = std::move(fn); }

private:
    friend class HttpServer;
    struct Generator;

    static void attach(const std::shared_ptr<HttpExchange> &exchange, st_h2o_req_t *req);
    void addHeaders(std::span<const Header> headers);
    void startResponse(int status, std::span<const Header> headers);
    void send();
    void handleProceed();
    void handleDisposed();
    void noteGone();

    st_h2o_req_t *m_req;
    std::vector<Header> m_headers;
    Generator *m_generator = nullptr;
    bool m_isBegun = false;
    bool m_isSending = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
    bool m_isSent = false;
    bool m_isGone = false;
    bool m_isUpgraded = false;
    Timestamp m_sendingSince;
    std::string m_inFlight;
    std::string m_pending;
    std::function<void()> m_onDrained;
    std::function<void()> m_onGone;
    /// Tells the server of the end, and whether it was an upgrade.
    std::function<void(bool)> m_onClosed;
};

} // namespace acaciafork::net
