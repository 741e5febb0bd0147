#include "StandinReporter.h"

#include <utility>

namespace acaciafork::standins {

namespace {

constexpr Duration reportTimeout = std::chrono::seconds(2);

} // namespace

StandinReporter::StandinReporter(net::HttpClient &client, std::vector<net::Address> entries)
    : m_client(client)
    , m_entries(std::move(entries))
{ }

void StandinReporter::send(std::string_view method, const std::string &target, std::string body)
{
    if (!m_entries.empty())
        sendTo(m_entries.size(), std::string(method), target, std::move(body));
}

void StandinReporter::sendTo(std::size_t triesLeft, std::string method, std::string target,
                             std::string body)
{
    const net::Header type { .name = "content-type", .value = "application/json" };
    const std::size_t entry = m_current % m_entries.size();
    const net::HttpRequest request { .address = m_entries[entry],
                                     .method = method,
                                     .target = target,
                                     .headers = { &type, 1 },
                                     .body = body,
                                     .timeout = reportTimeout };
    m_client.call(request, [=, this](const net::HttpReply &reply) {
        if (!reply.end.failure && reply.status < 300) {
            ++m_taken;
            return;
        }
        if (m_current % m_entries.size() == entry)
            ++m_current;
        if (triesLeft > 1)
            sendTo(triesLeft - 1, method, target, body);
        else
            ++m_lost;
    });
}

void StandinReporter::sendToAll(std::string_view method, const std::string &target,
                                const std::string &body)
{
    const net::Header type { .name = "content-type", .value = "application/json" };
    for (const auto &it : m_entries) {
        m_client.call({ .address = it,
                        .method = method,
                        .target = target,
                        .headers = { &type, 1 },
                        .body = body,
                        .timeout = reportTimeout },
                      [](const net::HttpReply &) {});
    }
}

} // namespace acaciafork::standins
