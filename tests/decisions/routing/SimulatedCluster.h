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

/// Shape and faults of a fake world.
struct ClusterOptions
{
    int entries = 3;
    int endpoints = 4;
    int zones = 1;
    int endpointsPerRack = 4;
    std::uint32_t slots = 2;
    std::uint32_t connections = 8;
    std::uint64_t seed = 1;
    /// One way between any two processes.
    Duration oneWayLatency = std::chrono::microseconds(1500);
    /// Percent of messages between entries and the grantor.
    int lostPercent = 0;
    int duplicatedPercent = 0;
    /// Most that such a message is late, so that messages cross.
    Duration maxMessageDelay {};
    /// Most that an announcement is late; less than the flight bound.
    Duration maxAnnouncementDelay {};
    /// Most that an attempt's bytes are late on their way to the endpoint.
    Duration maxAttemptDelay {};
    Duration announceInterval = std::chrono::seconds(1);
    /// True to run the clocks of odd processes 1% fast and of even ones 1% slow.
    bool skewedClocks = false;
    /// True when endpoints list the attempts that they run.
    bool listsAttempts = true;
    CreditSettings credit;
    ServiceSettings service;
};

/// A request put to the world.
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

/// How a request of the world ended.
enum class RequestOutcome : std::uint8_t { Open, Answered, NotRun, Unknown };

/// What became of a request of the world.
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

/// Entries, a grantor and endpoints in virtual time: the real decision objects, and nothing else
/// but the messages between them and endpoints that count what they run.
class SimulatedCluster
{
public:
    explicit SimulatedCluster(const ClusterOptions &options);
    ~SimulatedCluster();

    /// Runs until the time given, in microseconds from the start.
    void runUntil(std::int64_t until);
    /// Calls `action` at a time.
    void at(std::int64_t time, std::function<void()> action);
    /// Puts a request now. @return its place in records()
    std::size_t submit(const SimulatedRequest &request);

    /// The caller of a request goes away.
    void disconnectCaller(std::size_t record);
    /// Nothing passes between the entry and the grantor while it is cut off.
    void setPartitioned(int entry, bool partitioned);
    void crashEntry(int entry);
    void startEntry(int entry);
    /// The leader is lost; another follows once its lease is over.
    void changeLeader() { changeLeader(true); }
    /// For a broken variant: a leader that thinks that nobody holds anything.
    void changeLeader(bool knowsEntries);
    /// Silent until changeLeader.
    void loseLeader();
    /// The endpoint's process dies and comes back after `downtime`, with nothing running.
    void restartEndpoint(int endpoint, Duration downtime);
    /// The endpoint's instance is gone: connects fail, answers never come.
    void killEndpoint(int endpoint);
    void leaveEndpoint(int endpoint);
    /// Work takes this many times as long at the endpoint.
    void slowEndpoint(int endpoint, double factor);
    /// Replaces a grant on its way; for broken variants.
    std::function<void(CreditGrant *)> tamperGrant;
    /// Replaces a report on its way; for broken variants.
    std::function<void(CreditReport *)> tamperReport;
    /// For a broken variant: the port says that a timed-out attempt never left.
    bool timeoutReleasesSlot = false;

    [[nodiscard]] std::int64_t now() const { return m_now; }
    [[nodiscard]] const std::vector<RequestResult> &records() const { return m_records; }
    /// Times that an endpoint ran more than its slots or had more connections than its bound.
    [[nodiscard]] int overshoots() const { return m_overshoots; }
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
