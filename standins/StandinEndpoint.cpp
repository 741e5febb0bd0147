#include "StandinEndpoint.h"

#include <algorithm>
#include <utility>

#include <boost/json/serialize.hpp>

namespace acaciafork::standins {

namespace {

constexpr Duration announcePeriod = std::chrono::seconds(1);
constexpr Duration leaveLookPeriod = std::chrono::milliseconds(100);
// Looks in a row without work before a leaving endpoint is done: longer than news of it takes.
constexpr int idleLooksToLeave = 30;
// From when on a request to a leaving endpoint is counted as one that came too late.
constexpr Duration leaveGrace = std::chrono::seconds(5);

constexpr std::string_view numberHeader = "x-standin-request";

} // namespace

StandinEndpoint::StandinEndpoint(net::Loop &loop, StandinReporter &reporter,
                                 StandinEndpointSettings settings)
    : m_loop(loop)
    , m_reporter(reporter)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_server(loop, {}, [this](const std::shared_ptr<net::HttpExchange> &it) { serve(it); })
{
    m_settings.announcement.incarnation = { static_cast<std::uint64_t>(
            net::Loop::wallMicroseconds()) };
}

StandinEndpoint::~StandinEndpoint()
{
    m_loop.cancel(m_announceTimer);
    m_loop.cancel(m_leaveTimer);
}

Result<std::uint16_t> StandinEndpoint::start(const net::Address &address)
{
    BOOST_LEAF_AUTO(port, m_server.listen(address));
    m_settings.announcement.address = { .host = address.host, .port = port };
    announce();
    m_announceTimer = m_loop.every(announcePeriod, [this] { announce(); });
    return port;
}

void StandinEndpoint::announce()
{
    endpoints::Announcement &it = m_settings.announcement;
    ++it.sequence;
    it.inProgress = static_cast<std::uint32_t>(m_counts.inProgress);
    const std::string target = "/acaciafork/v1/endpoints/" + it.endpoint.value;
    if (it.state == endpoints::EndpointState::Leaving)
        m_reporter.sendToAll("PUT", target, endpoints::encodeAnnouncement(it));
    else
        m_reporter.send("PUT", target, endpoints::encodeAnnouncement(it));
}

void StandinEndpoint::leave(std::function<void()> done)
{
    m_left = std::move(done);
    m_settings.announcement.state = endpoints::EndpointState::Leaving;
    m_leftAt = net::Loop::now();
    announce();
    m_leaveTimer = m_loop.every(leaveLookPeriod, [this] {
        m_idleLooks = m_counts.inProgress == 0 ? m_idleLooks + 1 : 0;
        if (m_idleLooks < idleLooksToLeave)
            return;
        m_loop.cancel(m_leaveTimer);
        m_loop.post(std::exchange(m_left, nullptr));
    });
}

void StandinEndpoint::serve(const std::shared_ptr<net::HttpExchange> &http)
{
    if (http->target() == "/standin/counts") {
        http->answerJson(200, boost::json::serialize(countsJson()));
        return;
    }
    ++m_counts.requests;
    if (m_leftAt != Timestamp() && net::Loop::now() - m_leftAt > leaveGrace)
        ++m_counts.afterLeaving;
    noteKey(*http);
    if (!http->upgradeProtocol().empty()) {
        serveStream(http);
        return;
    }

    // The work goes on to its end, whatever becomes of the connection.
    ++m_counts.inProgress;
    m_counts.mostInProgress = std::max(m_counts.mostInProgress, m_counts.inProgress);
    Work work { .http = http,
                .attempt = std::string(http->header(endpoints::attemptHeader)),
                .number = std::string(http->header(numberHeader)) };
    const std::weak_ptr<bool> isAlive = m_isAlive;
    m_loop.after(drawServiceTime(), [this, isAlive, work = std::move(work)] {
        if (!isAlive.expired())
            finish(work);
    });
}

void StandinEndpoint::noteKey(const net::HttpExchange &http)
{
    const std::string_view flag = http.header("acaciafork-idempotent");
    const bool isUnsafe = http.method() == "POST" || http.method() == "PATCH";
    if (flag == "true" || (flag.empty() && !isUnsafe))
        return;
    ++m_counts.nonIdempotent;
    const std::string key(http.header("idempotency-key"));
    if (!key.empty() && !m_keys.insert(key).second)
        ++m_counts.duplicates;
}

void StandinEndpoint::serveStream(const std::shared_ptr<net::HttpExchange> &http)
{
    ++m_counts.streams;
    const std::string attempt(http->header(endpoints::attemptHeader));
    const std::string protocol(http->upgradeProtocol());
    const net::Header headers[] = { { .name = endpoints::attemptHeader, .value = attempt },
                                    { .name = "upgrade", .value = protocol } };
    http->upgrade(headers, [this](std::unique_ptr<net::TcpStream> stream) {
        if (!stream)
            return;
        // A stream is echoed, direction by direction.
        net::TcpStream *it = stream.get();
        m_streams.push_back(std::move(stream));
        it->onRead([it](std::string_view bytes) {
            bytes.empty() ? it->endWrite() : it->write(bytes);
        });
    });
}

Duration StandinEndpoint::drawServiceTime()
{
    const double mean = static_cast<double>(m_settings.meanServiceTime.count());
    double us = mean;
    if (m_settings.distribution == "uniform")
        us = std::uniform_real_distribution<double>(0, 2 * mean)(m_random);
    else if (m_settings.distribution == "exponential")
        us = std::exponential_distribution<double>(1 / std::max(mean, 1.0))(m_random);
    Duration time(static_cast<std::int64_t>(us));
    if (draw(m_settings.delay))
        time += m_settings.delayTime;
    return time;
}

bool StandinEndpoint::draw(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void StandinEndpoint::finish(Work work)
{
    --m_counts.inProgress;
    ++m_counts.answered;
    if (!m_crossed && !draw(m_settings.cross)) {
        answer(work);
        return;
    }
    // Two answers change places: each goes out on the other's connection.
    if (!m_crossed) {
        m_crossed = std::make_unique<Work>(std::move(work));
        return;
    }
    std::swap(m_crossed->http, work.http);
    answer(*m_crossed);
    answer(work);
    m_crossed.reset();
}

void StandinEndpoint::answer(const Work &work)
{
    const net::Header header { .name = endpoints::attemptHeader, .value = work.attempt };
    std::string body = R"({"request":")" + work.number + R"(","endpoint":")"
            + m_settings.announcement.endpoint.value + "\"}";
    if (body.size() < m_settings.answerBytes)
        body.append(m_settings.answerBytes - body.size(), ' ');
    if (draw(m_settings.truncate)) {
        work.http->begin(200, { &header, 1 }, body.size());
        work.http->write(std::string_view(body).substr(0, body.size() / 2));
        work.http->abort();
        return;
    }
    if (!draw(m_settings.repeat)) {
        work.http->answer(200, { &header, 1 }, body);
        return;
    }
    // The same answer again, behind the first one on the same connection.
    const std::string again = "HTTP/1.1 200 OK\r\nacaciafork-attempt: " + work.attempt
            + "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    work.http->begin(200, { &header, 1 }, body.size());
    work.http->write(body + again);
    work.http->finish();
}

boost::json::object StandinEndpoint::countsJson() const
{
    boost::json::array keys(m_keys.begin(), m_keys.end());
    return { { "keys", std::move(keys) },
             { "endpoint", m_settings.announcement.endpoint.value },
             { "slots", m_settings.announcement.slots },
             { "requests", m_counts.requests },
             { "answered", m_counts.answered },
             { "streams", m_counts.streams },
             { "inProgress", m_counts.inProgress },
             { "mostInProgress", m_counts.mostInProgress },
             { "nonIdempotent", m_counts.nonIdempotent },
             { "duplicates", m_counts.duplicates },
             { "afterLeaving", m_counts.afterLeaving } };
}

} // namespace acaciafork::standins
