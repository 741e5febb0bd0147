#include "acaciafork/callers/CallerExchange.h"

#include <array>
#include <chrono>
#include <string>

namespace acaciafork::callers {

namespace {

/// Headers of ours: an endpoint's own of the same name would contradict them.
constexpr std::array<std::string_view, 3> ownHeaders {
    "acaciafork-outcome",
    "acaciafork-request-id",
    "acaciafork-attempt",
};

bool isOwnHeader(std::string_view name)
{
    for (const auto it : ownHeaders) {
        if (net::sameHeaderName(it, name))
            return true;
    }
    return false;
}

} // namespace

CallerExchange::CallerExchange(std::shared_ptr<net::HttpExchange> http, RequestId id)
    : m_http(std::move(http))
    , m_id(id)
    , m_idText(std::to_string(id.value))
{ }

void CallerExchange::answerNotRun(FailureKind kind, Duration retryAfter, std::string_view detail)
{
    answerFailure(kind == FailureKind::Overloaded ? 429 : 503, "not-run", kind, detail, retryAfter);
}

void CallerExchange::answerUnknown(FailureKind kind, std::string_view detail)
{
    answerFailure(kind == FailureKind::Timeout ? 504 : 502, "unknown", kind, detail,
                  Duration::zero());
}

void CallerExchange::answerRefused(FailureKind kind, std::string_view detail)
{
    answerFailure(httpStatus(kind), "not-run", kind, detail, Duration::zero());
}

void CallerExchange::answerFailure(int status, std::string_view outcome, FailureKind kind,
                                   std::string_view detail, Duration retryAfter)
{
    // An answer that has begun cannot turn into another one; it only can be cut off visibly.
    if (m_http->isBegun()) {
        m_http->abort();
        return;
    }
    m_headers.clear();
    m_headers.push_back({ .name = "content-type", .value = "application/json" });
    const std::string seconds =
            std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
    if (retryAfter > Duration::zero())
        m_headers.push_back({ .name = "retry-after", .value = seconds });
    addOwnHeaders(outcome);
    m_http->answer(status, m_headers, net::failureJson(kind, detail));
}

void CallerExchange::beginAnswer(int status, std::span<const net::Header> headers,
                                 std::optional<std::uint64_t> contentLength)
{
    m_headers.clear();
    m_headers.reserve(headers.size() + 2);
    for (const auto &it : headers) {
        if (!net::isHopHeader(it.name) && !isOwnHeader(it.name))
            m_headers.push_back(it);
    }
    addOwnHeaders("answered");
    m_http->begin(status, m_headers, contentLength);
}

void CallerExchange::addOwnHeaders(std::string_view outcome)
{
    m_headers.push_back({ .name = "acaciafork-outcome", .value = outcome });
    m_headers.push_back({ .name = "acaciafork-request-id", .value = m_idText });
}

void CallerExchange::upgrade(std::span<const net::Header> headers,
                             std::function<void(std::unique_ptr<net::TcpStream>)> fn)
{
    m_headers.assign(headers.begin(), headers.end());
    addOwnHeaders("answered");
    m_http->upgrade(m_headers, std::move(fn));
}

} // namespace acaciafork::callers
