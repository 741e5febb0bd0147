#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "benchmarks/batch/fakes/FakeState.h"
#include "benchmarks/batch/fakes/FakeWorker.h"

namespace acaciafork::batch::fakes {

/// How the network between scheduler, state and workers misbehaves.
struct NetworkFaults
{
    std::int64_t lossPermille = 0;
    std::int64_t duplicatePermille = 0;
    Duration leastDelay = std::chrono::milliseconds(1);
    Duration mostDelay = std::chrono::milliseconds(3);
};

/// One run in virtual time: schedulers that take turns as leader, the state, and workers.
class Session
{
public:
    struct Options
    {
        SchedulerSettings settings;
        NetworkFaults network;
        Duration tickInterval = std::chrono::milliseconds(100);
        Duration reportInterval = std::chrono::seconds(1);
        Duration commitDelay = std::chrono::milliseconds(5);
        /// Usage arrives up to this much after it was measured.
        Duration usageLag = std::chrono::seconds(5);
        /// Every how many worker reports use is reported; 0 never.
        std::uint32_t usageEvery = 0;
        Duration warmUp = std::chrono::seconds(20);
        Duration endpointDrain = std::chrono::seconds(5);
        std::uint64_t seed = 1;
    };

    explicit Session(const Options &options);

    /// Adds a worker; it reports from now on.
    void addWorker(FakeWorker::Options worker);
    /// A team submits a job, whose truth must be in the world.
    void submit(const JobRecord &job);
    void cancel(const TaskName &task);
    void putRack(const RackRecord &rack);
    void putPlacement(const PlacementRecord &placement);
    void putTeam(const TeamRecord &team);
    void putMove(const MoveRecord &move);

    /// Lets virtual time pass.
    void run(Duration length);
    /// The leader falls silent; a new one is restored after `gap`. The old one goes on sending
    /// worker calls for as long as a deposed leader may.
    void changeLeader(Duration gap);
    /// A worker's messages are lost in both directions until then.
    void partition(std::size_t worker, Timestamp until) { m_partitions[worker] = until; }
    void restartWorker(std::size_t worker);
    /// Calls `action` every so often.
    void every(Duration interval, std::function<void()> action);

    [[nodiscard]] Timestamp now() const { return m_now; }
    Scheduler &scheduler() { return *m_leader->scheduler; }
    /// Broken variants in tests bend the commands of every leader.
    std::function<void(std::vector<Command> *)> tamper;
    /// Called at each command that a leader gives, before it is carried out.
    std::function<void(const Command &)> onCommand;

    World world;
    FakeState state;
    std::vector<std::unique_ptr<FakeWorker>> workers;
    /// When each job's first start happened and when it was submitted, if tracked.
    std::unordered_map<TaskName, Timestamp> submittedAt;

    /// Warm endpoints of each service that were not told to leave.
    [[nodiscard]] std::map<std::string, std::uint32_t> warmReplicas() const;
    /// Time that scheduler objects took, and how many events they handled.
    std::chrono::nanoseconds schedulerTime {};
    std::uint64_t schedulerEvents = 0;

private:
    struct Leader
    {
        std::unique_ptr<Scheduler> scheduler;
        /// Its proposals are committed.
        bool inOffice = true;
        /// After this moment it sends nothing.
        Timestamp actsUntil = Timestamp::max();
    };

    struct Message
    {
        Timestamp at {};
        std::uint64_t order = 0;
        std::function<void()> deliver;
        bool operator<(const Message &o) const { return at != o.at ? at > o.at : order > o.order; }
    };

    void at(Timestamp when, std::function<void()> deliver);
    void overNetwork(std::size_t worker, const std::function<void()> &deliver);
    void handle(const std::shared_ptr<Leader> &leader, const Event &event);
    void carryOut(const std::shared_ptr<Leader> &leader, const Command &command);
    void propose(const std::shared_ptr<Leader> &leader, const Propose &command);
    void auditOutcome(const DurableChange &change);
    template <typename Call>
    void call(const std::shared_ptr<Leader> &leader, const Call &command);
    void tellEndpoint(const EndpointLeave &command);
    void startLeader();
    void tick(const std::shared_ptr<Leader> &leader);
    void reportFrom(std::size_t worker);
    void endpointSigns(std::size_t worker);
    void tell(const Event &event);
    [[nodiscard]] bool cutOff(std::size_t worker) const;
    std::int64_t draw(std::int64_t least, std::int64_t most);

    Options m_options;
    RandomGenerator m_random;
    Timestamp m_now = timestampFromMicroseconds(1'000'000'000);
    std::uint64_t m_order = 0;
    std::priority_queue<Message> m_messages;
    std::shared_ptr<Leader> m_leader;
    /// The leader before, as long as it may act.
    std::shared_ptr<Leader> m_deposed;
    std::map<std::size_t, Timestamp> m_partitions;
    std::unordered_map<WorkerName, std::size_t> m_workerIndex;
    /// When the endpoints of service tasks have drained.
    std::map<TaskName, Timestamp> m_leaving;
};

} // namespace acaciafork::batch::fakes
