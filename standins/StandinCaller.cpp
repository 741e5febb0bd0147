#include "StandinCaller.h"

#include <algorithm>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace acaciafork::standins {

namespace {

constexpr Duration sendPeriod = std::chrono::milliseconds(1);
// An answer that is cut off shows as a failure, so the body itself may be this long at most.
constexpr std::size_t mostCheckedBytes = 4'096;

} // namespace

/// One request and what came back.
class StandinCaller::Call : public net::HttpCallSink
{
public:
    Call(StandinCaller &caller, std::uint64_t number)
        : m_caller(caller)
        , m_number(number)
    { }

    bool onHead(const net::HttpHead &head) override
    {
        status = head.status;
        outcome = net::findHeader(head.headers, "acaciafork-outcome");
        return true;
    }

    void onBody(std::string_view bytes) override
    {
        if (m_body.size() < mostCheckedBytes)
            m_body.append(bytes.substr(0, mostCheckedBytes));
    }

    void onEnd(const net::CallEnd &callEnd) override
    {
        const std::unique_ptr<Call> self(this);
        end = callEnd;
        m_caller.note(*this);
    }

    /// True when the body names this request.
    [[nodiscard]] bool isOwn() const
    {
        return m_body.find(R"("request":")" + std::to_string(m_number) + "\"") != std::string::npos;
    }

    Timestamp sentAt = net::Loop::now();
    int status = 0;
    std::string outcome;
    net::CallEnd end;

private:
    StandinCaller &m_caller;
    std::uint64_t m_number;
    std::string m_body;
};

StandinCaller::StandinCaller(net::Loop &loop, StandinCallerSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client(loop, {})
    , m_random(m_settings.seed)
{ }

void StandinCaller::start()
{
    m_startedAt = net::Loop::now();
    m_timer = m_loop.every(sendPeriod, [this] {
        const std::chrono::duration<double> passed = net::Loop::now() - m_startedAt;
        const auto due = static_cast<std::uint64_t>(passed.count() * m_settings.requestsPerSecond);
        for (; m_due < due; ++m_due)
            send();
    });
}

void StandinCaller::send()
{
    if (m_inProgress >= m_settings.mostInProgress) {
        ++m_counts.heldBack;
        return;
    }
    const std::uint64_t number = ++m_counts.sent;
    const std::string text = std::to_string(number);
    const std::string key = m_settings.keyPrefix + text;
    const std::string timeout = std::to_string(m_settings.timeoutMs);
    const std::string target = "/" + m_settings.service + m_settings.path;
    const bool isIdempotent =
            std::uniform_real_distribution<double>(0, 1)(m_random) >= m_settings.nonIdempotentShare;
    std::vector<net::Header> headers { { .name = "x-standin-request", .value = text },
                                       { .name = "acaciafork-timeout-ms", .value = timeout } };
    if (!isIdempotent)
        headers.push_back({ .name = "idempotency-key", .value = key });
    ++m_inProgress;
    m_client.start({ .address = m_settings.target,
                     .method = isIdempotent ? "GET" : "POST",
                     .target = target,
                     .headers = headers,
                     .timeout = std::chrono::milliseconds(m_settings.timeoutMs + 5'000) },
                   *new Call(*this, number));
}

void StandinCaller::note(const Call &call)
{
    --m_inProgress;
    m_latencies.push_back((net::Loop::now() - call.sentAt).count());
    if (call.end.phase == net::CallPhase::NotConnected)
        ++m_counts.notConnected;
    else if (call.end.failure)
        ++m_counts.broken;
    else if (call.outcome == "answered" && !call.isOwn())
        ++m_counts.foreign;
    else if (call.outcome == "answered")
        ++m_counts.answered;
    else if (call.outcome == "not-run" && (call.status == 429 || call.status == 503))
        ++m_counts.notRun;
    else if (call.outcome == "unknown")
        ++m_counts.unknown;
    else
        ++m_counts.untyped;
    if (m_done && m_inProgress == 0)
        m_loop.post(std::exchange(m_done, nullptr));
}

void StandinCaller::finish(std::function<void()> done)
{
    m_loop.cancel(m_timer);
    if (m_inProgress == 0)
        m_loop.post(std::move(done));
    else
        m_done = std::move(done);
}

std::int64_t StandinCaller::latencyQuantile(double share) const
{
    if (m_latencies.empty())
        return 0;
    std::vector<std::int64_t> sorted = m_latencies;
    const auto n = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + n, sorted.end());
    return sorted[static_cast<std::size_t>(n)];
}

std::string StandinCaller::countsText() const
{
    return boost::json::serialize(boost::json::object { { "sent", m_counts.sent },
                                                        { "answered", m_counts.answered },
                                                        { "notRun", m_counts.notRun },
                                                        { "unknown", m_counts.unknown },
                                                        { "notConnected", m_counts.notConnected },
                                                        { "broken", m_counts.broken },
                                                        { "foreign", m_counts.foreign },
                                                        { "untyped", m_counts.untyped },
                                                        { "heldBack", m_counts.heldBack },
                                                        { "p50Us", latencyQuantile(0.5) },
                                                        { "p99Us", latencyQuantile(0.99) },
                                                        { "maxUs", latencyQuantile(1) } });
}

} // namespace acaciafork::standins
