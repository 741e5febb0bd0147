#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/net/Net.h"

namespace acaciafork::callers {

/// The answer to one request of a caller. Every answer says what became of the request:
/// answered, not run, or unknown. Calls on a closed exchange do nothing.
class CallerExchange
{
public:
    CallerExchange(std::shared_ptr<net::HttpExchange> http, RequestId id);

    /// Refuses: no endpoint can have begun the work. 429 for Overloaded, else 503.
    /// @param[in] retryAfter when another try is worth while; rounded up to whole seconds
    void answerNotRun(FailureKind kind, Duration retryAfter, std::string_view detail = {});

    /// Says that the work may or may not have been done. 504 for Timeout, else 502.
    void answerUnknown(FailureKind kind, std::string_view detail = {});

    /// Refuses input that is wrong, with the status of the kind; nothing was run.
    void answerRefused(FailureKind kind, std::string_view detail);

    /// Begins the answer of an endpoint; headers of the connection are left out.
    void beginAnswer(int status, std::span<const net::Header> headers,
                     std::optional<std::uint64_t> contentLength);

    /// Passes on the next bytes of the answer.
    void write(std::string_view bytes) { m_http->write(bytes); }

    /// Ends the answer as a whole one.
    void finish() { m_http->finish(); }

    /// Breaks off an answer that has begun, so that the caller sees that it is not whole.
    void abort() { m_http->abort(); }

    /// Switches protocols and hands over the connection; `fn` gets null when it was lost.
    void upgrade(std::span<const net::Header> headers,
                 std::function<void(std::unique_ptr<net::TcpStream>)> fn);

    /// Bytes written that have not left yet.
    [[nodiscard]] std::size_t backlog() const { return m_http->backlog(); }

    /// `fn` is called each time that all written bytes have left.
    void onDrained(std::function<void()> fn) { m_http->onDrained(std::move(fn)); }

    /// `fn` is called once when the caller has gone before the end of the answer.
    void onGone(std::function<void()> fn) { m_http->onGone(std::move(fn)); }

    /// False once the answer has left whole or the connection is gone.
    [[nodiscard]] bool isOpen() const { return m_http->isOpen(); }

    /// True once an answer has begun.
    [[nodiscard]] bool isBegun() const { return m_http->isBegun(); }

    /// The id that the answer carries.
    [[nodiscard]] RequestId id() const { return m_id; }

private:
    void answerFailure(int status, std::string_view outcome, FailureKind kind,
                       std::string_view detail, Duration retryAfter);
    void addOwnHeaders(std::string_view outcome);

    std::shared_ptr<net::HttpExchange> m_http;
    RequestId m_id;
    std::string m_idText;
    std::vector<net::Header> m_headers;
};

} // namespace acaciafork::callers
