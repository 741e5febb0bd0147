#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acaciafork/control/Control.h"
#include "acaciafork/decisions/jobs/TaskState.h"
#include "tests/control/FakeWorker.h"

namespace acaciafork::control {

/// What goes wrong in a world, as probabilities of single orders and answers.
struct WorldFaults
{
    /// The order is carried out, its answer is lost.
    double answerLost = 0;
    /// The order gets no answer and is carried out 2 to 12 s later; with
    /// WorldOptions::lateOrdersOutliveWorkers 0 to 12 s later.
    double carriedOutLate = 0;
    /// The order is lost.
    double orderLost = 0;
    /// The worker is unhealthy for that moment: it says so and does nothing.
    double unhealthy = 0;
    /// A row of what runs on a worker can't be read.
    double rowUnreadable = 0;
    /// Rows of each list that can't be read and stand for no run.
    std::uint32_t oddRows = 0;
    /// The leader goes on leading and does not learn whether a record of it is committed; half of
    /// them are.
    double recordUnknown = 0;
    /// A run fails.
    double runFails = 0;
    /// A message between the leader and a relay is lost, arrives twice, or takes up to 2 s.
    double relayMessageLost = 0;
    double relayMessageDoubled = 0;
    double relayMessageSlow = 0;
};

/// What a task does to the workers that start it.
struct DeadlyTask
{
    Duration delay = std::chrono::milliseconds(10);
    Duration downTime = std::chrono::milliseconds(3200);
    /// The workers start again under other names at their addresses.
    bool renames = true;
    /// Calls to a crashed worker get no answer, rather than a refused connection.
    bool isDark = false;
};

/// How a world is set up.
struct WorldOptions
{
    std::size_t workers = 6;
    /// Members that carry the leader's orders beside it; none carries them all itself.
    std::size_t relays = 0;
    /// Zones z0, z1 and so on to which the workers belong in turn; none names no zone.
    std::size_t zones = 0;
    std::int64_t workerMillicores = 8000;
    std::int64_t workerMemoryMb = 32'000;
    /// Failed runs after which a task, and so its job, is given up.
    std::uint32_t attempts = 4;
    /// Workers reject what exceeds their capacity; else it is a breach to start that there.
    bool guardsCapacity = true;
    WorldFaults faults;
    jobs::JobSchedulerSettings scheduler;
    std::uint64_t seed = 1;
    /// Faults planted in the scheduler's surroundings, to see that the checks catch them.
    bool tellsDoneAsStopped = false;
    /// Orders that are carried out late also reach later incarnations of their workers, which know
    /// nothing of the earlier ones, and those that are cut off. So do orders to a worker that is
    /// down: their connections are tried again after 1, 3 and 7 s.
    bool lateOrdersOutliveWorkers = false;
    /// Relays carry out orders however late they come.
    bool relaysTakeLateOrders = false;
    /// Workers carry out orders whatever fencing token they have seen.
    bool workersIgnoreFences = false;
    /// How far each leader's wall clock is off at most, either way.
    Duration clockSkew {};
    /// Rate of every second worker's clock; the interface allows down to 0.98.
    double slowClock = 0.98;
};

/// A leader's driver of jobs, the replicated state, and workers, in virtual time. After every event
/// it checks what must hold; breaches() lists what did not.
class JobWorld : private PlacementAdvisor
{
public:
    explicit JobWorld(const WorldOptions &options);
    ~JobWorld() override;

    /// @name Time
    /// @{
    void run(Duration length);
    [[nodiscard]] Moment moment() const { return { m_now, m_wallUs + m_skewUs }; }
    /// @}

    /// @name What clients do
    /// @{
    /// Hands a job in; @return its status once it is answered, 0 while it is not.
    /// @param[in] path of its queue: /q/, or /a/ where an advisor knows who may run a step
    void submit(std::uint64_t id, const wire::JobSpec &spec, std::uint32_t attempts = 4,
                std::string_view path = "/q/");
    void cancel(std::uint64_t id);
    /// Asks for the state of a job; the answer may wait while the job is about to end.
    void ask(std::uint64_t id, Duration wait, const JobDriver::Reply &reply);
    /// Closes or opens a zone; see zoneStatus().
    void changeZone(const std::string &zone, bool closed);
    /// Changes the configuration of the queues as its operator would.
    void configure(const std::function<void(wire::QueueConfig *)> &change);
    /// Lets the workers of another pool run the tasks of the queue with that path prefix.
    void moveQueue(std::string_view path, const std::string &pool);
    /// Number of jobs that wait, as the queue with that path prefix shows it; none when there is no
    /// answer.
    [[nodiscard]] std::optional<std::uint32_t> pending(std::string_view path);
    /// True when a task of the job has started on a worker.
    [[nodiscard]] bool hasBegun(std::uint64_t id) const { return m_begun.contains(id); }
    /// Status with which the last order for the zone was answered, 0 while it is not.
    [[nodiscard]] int zoneStatus(const std::string &zone) const;
    [[nodiscard]] const state::ClosedZones &closedZones() const { return m_machine.closedZones(); }
    [[nodiscard]] wire::JobState stateOf(std::uint64_t id) const;
    [[nodiscard]] int statusOf(std::uint64_t id) const;
    /// @}

    /// @name Faults
    /// @{
    /// The leader dies; some of what it proposed last is committed, and another one takes over.
    void changeLeader(Duration pause);
    void crash(std::size_t worker);
    /// The worker starts again at its address and knows nothing.
    /// @param[in] name under which it starts; empty for the one that it had
    void revive(std::size_t worker, const std::string &name = {});
    /// All workers report at once.
    void reportNow() { m_nextBeat = m_now; }
    /// The capacity of a worker changes while it runs.
    void resize(std::size_t worker, const jobs::Size &capacity);
    /// Each worker that starts the task crashes after `delay` and starts again after `downTime`.
    void makeDeadly(const jobs::TaskKey &task, DeadlyTask how);
    void cut(std::size_t worker, bool isCut) { m_workers[worker]->isCut = isCut; }
    void drain(std::size_t worker);
    /// The worker says that it goes, and goes once that is acknowledged.
    void leave(std::size_t worker);
    /// The worker says that it goes, the answer is lost, and it goes after `length`. It reports
    /// nothing more.
    void leaveUnanswered(std::size_t worker, Duration length);
    /// A relay dies with all that it was about to do; it comes back knowing nothing.
    void crashRelay(std::size_t relay);
    void reviveRelay(std::size_t relay);
    /// A frozen relay does nothing; when it wakes, what was sent to it arrives.
    void freezeRelay(std::size_t relay, bool isFrozen);
    /// A deaf relay is heard and gets nothing.
    void deafenRelay(std::size_t relay, bool isDeaf) { m_relays[relay].isDeaf = isDeaf; }
    /// The leader can propose nothing, as with a full disk.
    void refuseProposals(bool isRefusing) { m_refusesProposals = isRefusing; }
    /// The leader can propose, and nothing is committed until this ends.
    void holdCommits(bool isHeld) { m_holdsCommits = isHeld; }
    void setAdvisorDown(bool isDown) { m_isAdvisorDown = isDown; }
    WorldFaults &faults() { return m_options.faults; }
    /// @}

    /// True when no worker runs anything.
    [[nodiscard]] bool hasIdleWorkers() const;
    [[nodiscard]] FakeWorker &worker(std::size_t i) { return *m_workers[i]; }
    [[nodiscard]] JobDriver &driver() { return *m_driver; }
    [[nodiscard]] const std::vector<std::string> &breaches() const { return m_breaches; }
    /// How often runs of a task have ended as done.
    [[nodiscard]] int doneEnds(const jobs::TaskKey &task) const;
    [[nodiscard]] std::uint64_t starts() const { return m_starts; }
    /// Starts that an incarnation has carried out which was not yet there when they were ordered.
    [[nodiscard]] std::uint64_t startsByLaterLives() const { return m_startsByLaterLives; }
    /// Workers that have crashed while they ran the task.
    [[nodiscard]] int crashesUnder(const jobs::TaskKey &task) const;
    /// Runs of gangs that ended since the others did not come.
    [[nodiscard]] int aloneEnds() const { return m_aloneEnds; }
    /// Workers named to the advisor, and starts refused for want of a permit.
    [[nodiscard]] std::uint64_t asked() const { return m_askedWorkers; }
    [[nodiscard]] std::uint64_t rejectedForPermit() const { return m_noPermit; }
    [[nodiscard]] std::uint64_t rejectedForRoom() const { return m_noRoom; }
    /// Orders that the leader gave to relays.
    [[nodiscard]] std::int64_t relayed();

private:
    struct Proposal
    {
        Timestamp commitAt;
        wire::Command command;
        ProposalTable::Handler handler;
    };

    /// A process that sends orders to the workers, as long as it lives.
    class Carrier : public WorkerOrders
    {
    public:
        Carrier(JobWorld *world, WorkerAnswers *sink)
            : answers(sink)
            , m_world(world)
        { }
        void start(const jobs::StartRun &order, std::string_view payload,
                   jobs::Tenure tenure) override;
        void stop(const jobs::StopRun &order, jobs::Tenure tenure) override;
        void pace(const jobs::PaceRun &order, jobs::Tenure tenure) override;
        void hold(const jobs::RenewWorkerLease &order, jobs::Tenure tenure) override;

        WorkerAnswers *answers;
        /// Grows when the process dies: answers to an earlier life reach nobody.
        std::uint64_t life = 0;

    private:
        JobWorld *m_world;
    };

    /// A member that carries orders for the leader.
    struct RelayNode
    {
        ProcessId process;
        std::unique_ptr<OrderRelay> relay;
        std::unique_ptr<Carrier> carrier;
        bool isUp = true;
        bool isFrozen = false;
        bool isDeaf = false;
        Timestamp heardAt;
        /// What arrived while it was frozen.
        std::vector<std::function<void()>> inbox;
    };

    void ask(const jobs::RequestPermits &question, jobs::Tenure tenure) override;

    /// Short name of a task for breaches.
    static std::string nameOf(const jobs::TaskKey &task);

    void newDriver();
    void newRelay(RelayNode *node);
    /// Sends a message between the leader and a relay through the faults.
    void sendBetweenMembers(const std::function<void()> &arrive);
    void tickRelays();
    bool propose(Moment at, wire::Command command, ProposalTable::Handler handler);
    void commitDue(bool all);
    void at(Timestamp when, std::function<void()> fn);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] Duration latency();
    [[nodiscard]] FakeWorker *find(const WorkerName &name);
    /// Lets a worker crash under a deadly task that it has started.
    void crashLater(const FakeWorker &worker, const DeadlyTask &how);
    /// Sends an order through the faults; `act` carries it out and gives its outcome.
    void order(Carrier *carrier, const jobs::OrderTarget &target, Duration timeout,
               const std::function<jobs::OrderOutcome(FakeWorker &)> &act,
               const std::function<void(jobs::OrderOutcome)> &answer);
    /// Carries an order out once a process is at the address again.
    void retryConnection(const WorkerName &name,
                         const std::function<jobs::OrderOutcome(FakeWorker &)> &act);
    jobs::OrderOutcome startAt(FakeWorker &worker, const jobs::StartRun &order,
                               jobs::Tenure tenure);
    /// Checks that no run waits for an answer that does not come.
    void checkOrders();
    /// Checks that each task of an active job is in a state that it leaves, and each run in a phase
    /// that is not older than its bound.
    void checkTasks();
    /// @param[in] listed how often its step lists it as ready
    void checkTask(const jobs::TaskRef &task, jobs::TaskState state, std::size_t listed);
    void checkRun(const jobs::RunRef &run);
    /// Checks that the memory of jobs stays within its budget, unless one occurrence is more.
    void checkMemory();
    /// Checks that no task starts in a zone that has been closed for long.
    void checkZone(const FakeWorker &worker, const jobs::TaskKey &task);
    void checkStart(const FakeWorker &worker, const jobs::StartRun &order);
    /// When the occurrence of a task is due on the wall clock; 0 for a job without a schedule.
    [[nodiscard]] std::int64_t dueUs(const jobs::TaskKey &task) const;
    /// Checks that an order that the leader gives now is not early by its clock.
    void checkOrdered(const jobs::TaskKey &task);
    /// Checks that a configuration has sent the task's queue to the worker's pool.
    void checkPool(const FakeWorker &worker, const jobs::TaskKey &task);
    void checkStep(const FakeWorker &worker, const jobs::TaskKey &task, const wire::JobSpec &spec);
    /// Lets gangs begin that are whole, and ends those that are done, broken or alone.
    void advanceGangs();
    void breach(std::string what);
    void beat();

    WorldOptions m_options;
    RandomGenerator m_random;
    Timestamp m_now;
    std::int64_t m_wallUs = 1'700'000'000'000'000;
    /// How far the wall clock of the leader is off.
    std::int64_t m_skewUs = 0;
    CounterRegistry m_counters;
    state::StateMachine m_machine;
    std::uint64_t m_index = 0;
    std::unique_ptr<JobDriver> m_driver;
    std::unique_ptr<OrderRouter> m_router;
    std::unique_ptr<Carrier> m_carrier;
    std::vector<RelayNode> m_relays;
    /// Processes that have died. Orders and answers on their way still name them.
    struct DeadRelay
    {
        std::unique_ptr<OrderRelay> relay;
        std::unique_ptr<Carrier> carrier;
    };
    struct DeadLeader
    {
        std::unique_ptr<JobDriver> driver;
        std::unique_ptr<OrderRouter> router;
        std::unique_ptr<Carrier> carrier;
    };
    std::vector<DeadRelay> m_deadRelays;
    std::vector<DeadLeader> m_deadLeaders;
    std::uint64_t m_generation = 0;
    std::vector<Proposal> m_log;
    std::multimap<Timestamp, std::function<void()>> m_events;
    std::vector<std::unique_ptr<FakeWorker>> m_workers;
    std::map<std::uint64_t, wire::JobSpec> m_specs;
    std::map<std::uint64_t, std::uint32_t> m_attempts;
    /// Path prefix of the queue of each job, and all pools that a queue has had.
    std::map<std::uint64_t, std::string> m_paths;
    std::map<std::string, std::set<std::string>> m_pools;
    std::set<std::uint64_t> m_begun;
    /// Configuration of the queues as last proposed.
    wire::QueueConfig m_queues;
    std::map<std::uint64_t, int> m_status;
    std::map<std::uint64_t, Timestamp> m_cancelledAt;
    std::map<std::string, int> m_zoneStatus;
    /// When the evacuation of a zone was acknowledged, until it is taken back.
    std::map<std::string, Timestamp> m_evacuatedAt;
    std::set<jobs::TaskKey> m_doneNoted;
    /// Tasks that have ended as done, whether anybody knows or not.
    std::set<jobs::TaskKey> m_done;
    std::map<jobs::TaskKey, int> m_doneEnds;
    std::map<jobs::TaskKey, std::set<std::uint64_t>> m_failuresNoted;
    /// What the members of each run of a gang went on from.
    std::map<std::pair<jobs::TaskKey, std::uint64_t>, std::string> m_gangCheckpoints;
    std::map<jobs::TaskKey, DeadlyTask> m_deadly;
    std::map<jobs::TaskKey, int> m_crashesUnder;
    /// Starts of a task after the third crash under it.
    std::map<jobs::TaskKey, int> m_startsAfterCrashes;
    std::uint64_t m_lastRename = 0;
    /// Starts that an incarnation has carried out which was not yet there when they were ordered.
    std::uint64_t m_startsByLaterLives = 0;
    std::vector<std::string> m_breaches;
    std::uint64_t m_starts = 0;
    std::uint64_t m_noRoom = 0;
    int m_aloneEnds = 0;

    /// A permit that the advisor has given.
    struct Grant
    {
        jobs::TaskKey step;
        std::string worker;
        std::uint64_t born = 0;
        Timestamp until;
    };
    std::map<std::string, Grant> m_grants;
    std::set<std::uint64_t> m_advised;
    bool m_isAdvisorDown = false;
    bool m_refusesProposals = false;
    bool m_holdsCommits = false;
    Timestamp m_advisorFreeAt;
    std::uint64_t m_askedWorkers = 0;
    std::uint64_t m_noPermit = 0;
    Timestamp m_nextBeat;
    Timestamp m_nextTaskCheck;
    /// Tenure that the checks saw last, and since when.
    jobs::Tenure m_checkedTenure;
    Timestamp m_tenureSince;
};

/// Fails the test for each of the first breaches.
void checkNoBreach(const JobWorld &world);
/// Breaches in which a task ran twice at once or after a noted end, and the others.
std::vector<std::string> doubleRuns(const JobWorld &world);
std::vector<std::string> otherBreaches(const JobWorld &world);

/// A job of one step.
wire::JobSpec simpleJob(std::uint32_t count, std::uint64_t millicores, std::uint32_t estimateMs);

} // namespace acaciafork::control
