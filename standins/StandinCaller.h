#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "acaciafork/core/Random.h"
#include "acaciafork/net/Net.h"

namespace acaciafork::standins {

/// Load that a stand-in caller makes.
struct StandinCallerSettings
{
    net::Address target;
    std::string service;
    std::string path = "/work";
    double requestsPerSecond = 100;
    /// Share of the requests that are non-idempotent, from 0 to 1.
    double nonIdempotentShare = 0.2;
    std::int64_t timeoutMs = 10'000;
    /// Most requests under way; past it one is counted as held back.
    std::size_t mostInProgress = 1'000;
    /// Prefix of idempotency keys, to keep runs apart.
    std::string keyPrefix = "k";
    std::uint64_t seed = 1;
};

/// What a stand-in caller has counted.
struct StandinCallerCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// No whole answer came: the connection was refused or broke.
    std::uint64_t notConnected = 0;
    std::uint64_t broken = 0;
    /// Answers that were whole and belonged to another request.
    std::uint64_t foreign = 0;
    /// Answers without an outcome, or with one that contradicts their status.
    std::uint64_t untyped = 0;
    std::uint64_t heldBack = 0;
};

/// Fake caller: sends at a fixed rate, whatever the answers do, and checks each answer.
class StandinCaller
{
public:
    StandinCaller(net::Loop &loop, StandinCallerSettings settings);

    /// Starts sending.
    void start();

    /// Stops sending and calls `done` when the last answer is there.
    void finish(std::function<void()> done);

    /// What was counted, as JSON.
    [[nodiscard]] std::string countsText() const;

private:
    class Call;

    void send();
    void note(const Call &call);
    [[nodiscard]] std::int64_t latencyQuantile(double share) const;

    net::Loop &m_loop;
    StandinCallerSettings m_settings;
    net::HttpClient m_client;
    RandomGenerator m_random;
    StandinCallerCounts m_counts;
    Timestamp m_startedAt;
    std::uint64_t m_due = 0;
    std::size_t m_inProgress = 0;
    net::TimerId m_timer;
    std::vector<std::int64_t> m_latencies;
    std::function<void()> m_done;
};

} // namespace acaciafork::standins
