#pragma once

#include <functional>
#include <string>
#include <vector>

#include "acaciafork/net/Net.h"

namespace acaciafork::standins {

/// Sends reports to the entries: one entry a report, the next one when it does not take it.
class StandinReporter
{
public:
    StandinReporter(net::HttpClient &client, std::vector<net::Address> entries);

    /// Sends one report.
    void send(std::string_view method, const std::string &target, std::string body);

    /// Sends a report to every entry.
    void sendToAll(std::string_view method, const std::string &target, const std::string &body);

    /// Reports that an entry took.
    [[nodiscard]] std::uint64_t taken() const { return m_taken; }

    /// Reports that no entry took.
    [[nodiscard]] std::uint64_t lost() const { return m_lost; }

private:
    void sendTo(std::size_t triesLeft, std::string method, std::string target, std::string body);

    net::HttpClient &m_client;
    std::vector<net::Address> m_entries;
    std::size_t m_current = 0;
    std::uint64_t m_taken = 0;
    std::uint64_t m_lost = 0;
};

} // namespace acaciafork::standins
