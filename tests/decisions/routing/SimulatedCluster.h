#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::routing::fake {

/// Size, timing and faults of a simulated cluster.
struct ClusterOptions
{
    int entries = 3;
    int endpoints = 4;
    int zones = 1;
    int endpointsPerRack = 4;
    std::uint32_t slots = 2;
    std::uint32_t connections = 8;
    std::uint64_t seed = 1;
    /// Network latency between any two processes.
    Duration oneWayLatency = std::chrono::microseconds(1500);
    /// Percentages of messages between entries and the grantor that are lost or duplicated.
    int lostPercent = 0;
    int duplicatedPercent = 0;
    /// Largest extra delay of such a message; messages can overtake each other.
    Duration maxMessageDelay {};
    /// Largest extra delay of an announcement; less than CreditSettings::maxNetworkDelay.
    Duration maxAnnouncementDelay {};
    /// Largest extra delay of an attempt's bytes on their way to the endpoint.
    Duration maxAttemptDelay {};
    Duration announceInterval = std::chrono::seconds(1);
    /// True to run the clocks of odd processes fast and those of even processes slow, so that their
    /// rates differ by 1% (0.5% each).
    bool skewedClocks = false;
    /// True when endpoints list the attempts that they run.
    bool listsAttempts = true;
    CreditSettings credit;
    ServiceSettings service;
};

/// A request submitted to the cluster.
struct SimulatedRequest
{
    int entry = 0;
    Duration work = std::chrono::milliseconds(10);
    std::uint64_t route = 1;
    RequestClass requestClass = RequestClass::Interactive;
    bool idempotent = true;
    std::uint64_t key = 0;
    Duration timeout = std::chrono::seconds(10);
};

/// How a simulated request ended.
enum class RequestOutcome : std::uint8_t { Open, Answered, NotRun, Unknown };

/// Result of a simulated request, updated as it proceeds.
struct RequestResult
{
    SimulatedRequest request;
    std::int64_t arrival = 0;
    std::int64_t end = 0;
    RequestOutcome outcome = RequestOutcome::Open;
    int attempts = 0;
    int runs = 0;
    int answers = 0;
    int forwards = 0;
};

/// Simulates entries, a grantor and endpoints in virtual time. Entries and grantor are the real
/// decision objects; only the messages between them and the endpoints are simulated.
class SimulatedCluster
{
public:
    explicit SimulatedCluster(const ClusterOptions &options);
    ~SimulatedCluster();

    /// Runs the simulation until a time in microseconds from the start.
    void runUntil(std::int64_t until);
    /// Schedules `action` for a time in microseconds from the start.
    void at(std::int64_t time, std::function<void()> action);
    /// Submits a request now. @return its index in records()
    std::size_t submit(const SimulatedRequest &request);

    /// Makes the caller of a request disconnect.
    void disconnectCaller(std::size_t record);
    /// While an entry is partitioned, no messages pass between it and the grantor.
    void setPartitioned(int entry, bool partitioned);
    void crashEntry(int entry);
    void startEntry(int entry);
    /// Replaces the leader, as happens once the lease of the old leader has expired. The new leader
    /// knows which entries exist but has no other state.
    void changeLeader() { changeLeader(true); }
    /// With `knowsEntries` false, for a defect test, the new leader assumes that no entry holds
    /// credit.
    void changeLeader(bool knowsEntries);
    /// Removes the leader until changeLeader() is called.
    void loseLeader();
    /// Kills the endpoint's process and restarts it after `downtime` with no requests running.
    void restartEndpoint(int endpoint, Duration downtime);
    /// Removes the endpoint's instance: connections to it time out and it never answers.
    void killEndpoint(int endpoint);
    void leaveEndpoint(int endpoint);
    /// Multiplies the service times at the endpoint.
    void slowEndpoint(int endpoint, double factor);
    /// Modifies each grant in transit, to inject a defect.
    std::function<void(CreditGrant *)> tamperGrant;
    /// Modifies each report in transit, to inject a defect.
    std::function<void(CreditReport *)> tamperReport;
    /// Injects a defect: a timed-out attempt is reported as never sent.
    bool timeoutReleasesSlot = false;

    [[nodiscard]] std::int64_t now() const { return m_now; }
    [[nodiscard]] const std::vector<RequestResult> &records() const { return m_records; }
    /// Times that an endpoint exceeded its slots.
    [[nodiscard]] int overshoots() const { return m_overshoots; }
    /// Times that an endpoint exceeded its connection limit.
    [[nodiscard]] int connectionOvershoots() const { return m_connectionOvershoots; }
    [[nodiscard]] int ledgerCommits() const { return m_ledgerCommits; }
    [[nodiscard]] std::int64_t controlMessages() const { return m_controlMessages; }
    [[nodiscard]] EntryScheduler *entry(int index);
    [[nodiscard]] const CreditGrantor &grantor() const { return *m_grantor; }
    [[nodiscard]] int runningAt(int endpoint) const;
    [[nodiscard]] std::int64_t lastStartAt(int endpoint) const;
    /// Attempts started at the endpoint so far.
    [[nodiscard]] int startsAt(int endpoint) const;

private:
    struct Endpoint;
    struct Entry;
    struct Attempt;
    struct Action
    {
        std::int64_t time = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Action &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    [[nodiscard]] Timestamp localTime(int process) const;
    [[nodiscard]] std::int64_t simulatedDelay(int process, Timestamp local) const;
    void execute(int entry, EntryCommands *commands);
    void executeOne(int entry, const EntryCommand &command);
    void execute(GrantorCommands *commands);
    void sendControlMessage(int entry, std::function<void()> deliver,
                            Duration delayBound = Duration::max());
    void start(int entry, const StartAttempt &command);
    void openConnection(std::uint64_t attempt);
    void countConnections(int endpoint);
    bool hasConnection(std::uint64_t attempt);
    void closeConnection(const Attempt &attempt);
    void deliverAttempt(std::uint64_t attempt);
    void finishAttempt(std::uint64_t attempt);
    void end(std::uint64_t attempt, AttemptPhase phase, AttemptOutcome outcome, bool kept);
    void close(RequestId request, RequestOutcome outcome);
    void announce(int endpoint);
    void tickEntry(int entry);
    void tickGrantor();
    void forward(int entry, const ForwardToPeer &command);
    RequestInfo makeRequestInfo(std::size_t record, bool forwarded, int entry) const;
    template <typename Event>
    void dispatch(int entry, Event event);

    ClusterOptions m_options;
    RandomGenerator m_generator;
    std::int64_t m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<Action> m_actions;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::unique_ptr<CreditGrantor> m_grantor;
    std::uint64_t m_term = 0;
    bool m_leaderUp = false;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::vector<RequestResult> m_records;
    std::unordered_map<std::uint64_t, LedgerVerdict> m_ledger;
    int m_overshoots = 0;
    int m_connectionOvershoots = 0;
    int m_ledgerCommits = 0;
    std::int64_t m_controlMessages = 0;
};

} // namespace acaciafork::routing::fake
