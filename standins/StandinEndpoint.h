#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/json/object.hpp>

#include "StandinReporter.h"
#include "acaciafork/core/Random.h"
#include "acaciafork/endpoints/Endpoints.h"

namespace acaciafork::standins {

/// How a stand-in endpoint behaves.
struct StandinEndpointSettings
{
    /// What it announces; address, incarnation and sequence are filled in.
    endpoints::Announcement announcement;
    /// constant, uniform or exponential.
    std::string distribution = "constant";
    Duration meanServiceTime = std::chrono::milliseconds(5);
    std::size_t answerBytes = 0;
    /// Shares of the answers with a fault, each from 0 to 1.
    double cross = 0;
    double delay = 0;
    double truncate = 0;
    double repeat = 0;
    /// How late a delayed answer is.
    Duration delayTime = std::chrono::seconds(2);
    std::uint64_t seed = 1;
};

/// What a stand-in endpoint has counted from what reached it.
struct StandinEndpointCounts
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t streams = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t mostInProgress = 0;
    /// Requests marked non-idempotent, and those whose key had come before.
    std::uint64_t nonIdempotent = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t afterLeaving = 0;
};

/// Fake endpoint: works on each request for a time drawn from a distribution, echoes its attempt
/// and number, and counts on its own.
class StandinEndpoint
{
public:
    StandinEndpoint(net::Loop &loop, StandinReporter &reporter, StandinEndpointSettings settings);
    ~StandinEndpoint();
    StandinEndpoint(const StandinEndpoint &) = delete;
    StandinEndpoint &operator=(const StandinEndpoint &) = delete;

    /// Listens on loopback and starts announcing.
    /// @return the port
    Result<std::uint16_t> start(const net::Address &address);

    /// Announces that it leaves, and calls `done` once nothing was in progress for a while.
    void leave(std::function<void()> done);

    /// What was counted, as JSON.
    [[nodiscard]] boost::json::object countsJson() const;

    /// What was counted.
    [[nodiscard]] const StandinEndpointCounts &counts() const { return m_counts; }

private:
    /// One request that is being worked on.
    struct Work
    {
        std::shared_ptr<net::HttpExchange> http;
        std::string attempt;
        std::string number;
    };

    void announce();
    void serve(const std::shared_ptr<net::HttpExchange> &http);
    void serveStream(const std::shared_ptr<net::HttpExchange> &http);
    void noteKey(const net::HttpExchange &http);
    void finish(Work work);
    void answer(const Work &work);
    Duration drawServiceTime();
    bool draw(double share);

    net::Loop &m_loop;
    StandinReporter &m_reporter;
    StandinEndpointSettings m_settings;
    StandinEndpointCounts m_counts;
    RandomGenerator m_random;
    net::HttpServer m_server;
    net::TimerId m_announceTimer;
    net::TimerId m_leaveTimer;
    Timestamp m_leftAt;
    int m_idleLooks = 0;
    std::function<void()> m_left;
    std::set<std::string, std::less<>> m_keys;
    std::unique_ptr<Work> m_crossed;
    std::vector<std::unique_ptr<net::TcpStream>> m_streams;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace acaciafork::standins
