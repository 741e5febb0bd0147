#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::jobs {

/// Kinds of work that differ in how they are scheduled.
enum class WorkKind : std::uint8_t {
    Serving,
    Backfill,
    Plain,
    LongRunningBackfill,
    Gang,
    Scheduled,
    Advised,
    Chain, ///< plain work in several steps
};
inline constexpr std::size_t workKindCount = 8;
inline constexpr std::array<const char *, workKindCount> workKindNames {
    "serving", "backfill", "plain", "long-running backfill", "gang", "scheduled", "advised", "chain"
};

/// What a task waits for, as the scheduler sees it.
enum class WaitCause : std::uint8_t {
    TakeOver, ///< an earlier leader may have started it
    Trial,
    Order, ///< the scheduler takes it for running, started, stopped or not ready yet
    Place,
};
inline constexpr std::size_t waitCauseCount = 4;
inline constexpr std::array<const char *, waitCauseCount> waitCauseNames { "take-over", "trial",
                                                                           "order", "place" };

/// Time for which a job or a long-running task has been without a run, while there was a leader.
struct CallerWait
{
    Duration length {};
    std::array<Duration, waitCauseCount> parts {};

    void add(Duration time, WaitCause cause)
    {
        length += time;
        parts.at(static_cast<std::size_t>(cause)) += time;
    }
};

/// What arrives in a simulation of a colocated fleet, and what goes wrong in it.
struct ColocationLoad
{
    /// Factors on the usual load: during the burst, and after it.
    double burst = 1.5;
    double after = 0.6;
    Duration burstLength = std::chrono::seconds(40);
    Duration length = std::chrono::seconds(120);
    /// Share of the cores that serving tasks reserve at first.
    double servingShare = 0.8;
    /// Serving jobs are cancelled after the burst until they reserve less than this share.
    double servingShareAfter = 1;
    /// Number of workers that crash together at the end of the burst and are back at once.
    std::size_t crashes = 0;
    /// Factor on the usual load of serving tasks during the burst; unset for that of other tasks.
    std::optional<double> servingBurst;
    /// Share of the serving jobs whose image bears all backfill images; unset for equally frequent
    /// serving images.
    std::optional<double> robustShare;
    /// Jobs per second of each kind besides serving, backfill and plain ones.
    double otherJobsPerSecond = 0;
    /// Disruption budget of long-running steps.
    std::uint32_t disruptionBudget = 0;
    /// Time after the warm-up at which a new leader takes over; zero for none.
    Duration leaderChange {};
    /// Time from the end of the warm-up to the first loss of a leader, and from one loss to the
    /// next; zero for none. Between 1 and 1.5 s later, a new leader takes over. Of the orders and
    /// records in flight at a loss, some are carried out seconds later and others are lost.
    Duration leaderEvery {};
    /// Share of the orders that are carried out seconds later and have no answer.
    double lateOrders = 0;
    /// A third of the workers are taken away at this time after the warm-up, if it isn't zero, and
    /// how long they are away. Half of them crash and come back, and the others drain first and are
    /// replaced.
    Duration workersAwayAt {};
    Duration workersAwayFor = std::chrono::seconds(20);
    /// @name Silent workers
    /// Times after the warm-up at which workers fall silent, zero for none, and the share of the
    /// workers that do. A silent worker goes on with what it runs until its lease lapses and
    /// answers nothing; of the orders sent to it, some are carried out seconds later and the others
    /// are lost.
    /// @{
    std::array<Duration, 2> silences {};
    double silentShare = 0;
    /// After this time they answer again; longer ones overlap with the second silence.
    Duration silentFor = std::chrono::seconds(9);
    /// Share of them that end for good as they fall silent, and that start again as another
    /// incarnation up to 4 s later; every other one of these answers from then on.
    double goneShare = 0;
    double restartShare = 0;
    /// Longest time from a silence to the loss of the leader, and time from the beginning of the
    /// next tenure to its loss; zero for none. Not together with leaderEvery. Orders and records
    /// in flight fare as there.
    Duration lossAfterSilence {};
    Duration nextLossAfter {};
    /// @}
    /// There is idle room while less than this share of the cores of the workers in touch is
    /// reserved; zero not to measure the waits beside it.
    double idleShare = 0;
};

/// What a simulation has counted.
struct ColocationResult
{
    /// Longest time after the burst and the settling time for which a backfill job whose turn had
    /// come was without a run, or had no progress, while there was room for two tasks of each such
    /// job; and how long there was.
    Duration longestJobWait {};
    Duration longestStandstill {};
    Duration timeWithRoom {};
    /// The last part of the simulation: backfill work that arrived and that was done, in
    /// core-seconds per second, and the mean share of the workers that are paced.
    double arrivedPerSecond = 0;
    double donePerSecond = 0;
    double pacedShare = 0;
    /// Tasks that waited for a run as suspects after the crash, and their longest wait: backfill
    /// tasks, short ones and serving ones.
    std::array<std::size_t, 3> suspects {};
    std::array<Duration, 3> suspectWaits {};
    /// True when there has been room for each task twice over since the crash.
    bool hadRoomForAll = true;
    /// Longest time from the settling time on for which a backfill job whose turn had come made no
    /// progress, with or without a run. Take-overs do not count.
    Duration longestTurnStandstill {};
    /// @name Waits from the settling time on
    /// Longest time for which a job of a kind whose turn had come was without a run, whatever room
    /// there was, and the number of jobs whose turn has come. Each long-running task counts by
    /// itself. Waits during a take-over do not count.
    /// @{
    std::array<Duration, workKindCount> turnWaits {};
    std::array<std::size_t, workKindCount> turns {};
    /// The same for what an earlier leader has accepted, from the end of the take-over on, and how
    /// long that took.
    std::array<Duration, workKindCount> inheritedWaits {};
    std::array<std::size_t, workKindCount> inherited {};
    Duration takeOver {};
    /// The same for both while there was room for two tasks of each job and of each long-running
    /// task that waits, where backfill tasks that are paused or slowed down count as absent; and
    /// how long there was.
    std::array<Duration, workKindCount> waitsWithRoom {};
    std::array<std::size_t, workKindCount> turnsWithRoom {};
    Duration timeWithRoomForEach {};
    /// @}
    /// @name Waits on the callers' clocks
    /// Only where leaders change in series, workers are away, or orders are late. Longest time from
    /// the settling time on for which a job or a long-running task that could run was without a
    /// run, over changes of leader, by what the workers run rather than by what the scheduler
    /// knows. The time without a leader does not count, and for a serving task neither does the
    /// time in which serving jobs ask for more cores than their tasks can be packed into. And the
    /// number of these waits.
    /// @{
    std::array<CallerWait, workKindCount> callerWaits {};
    std::array<std::size_t, workKindCount> callerTurns {};
    /// The same while there was room for two tasks of each job and of each long-running task that
    /// waits, where backfill tasks that are paused or slowed down count as absent; and how long
    /// there was.
    std::array<CallerWait, workKindCount> callerWaitsWithRoom {};
    Duration timeWithRoomForCallers {};
    /// @}
    /// @name Waits beside idle room, on the callers' clocks
    /// Only with ColocationLoad::idleShare. Longest time from the settling time on for which, on
    /// end, a job or a long-running task that could run had no run on a worker that is up, with
    /// idle room that it fits into twice over; and the number of these waits. Over changes of
    /// leader, the time without one taken off. Time in which a silent worker may be at work on
    /// each of its tasks, or on one of a gang, does not count.
    /// @{
    std::array<CallerWait, workKindCount> idleRoomWaits {};
    std::array<std::size_t, workKindCount> idleRoomTurns {};
    Duration timeWithIdleRoom {};
    /// The same for what had no run as a tenure began, from then to its first start in it, as long
    /// as there was such room without a break.
    std::array<CallerWait, workKindCount> firstStarts {};
    std::array<std::size_t, workKindCount> firstStartTurns {};
    /// @}
    /// Workers that fell silent, and starts that reached one of them then.
    std::size_t workersSilent = 0;
    std::size_t startsWhileSilent = 0;
    std::uint64_t tenures = 1;
    /// Orders that were carried out late, and how many of these were fenced.
    std::size_t ordersCarriedOutLate = 0;
    std::size_t ordersFenced = 0;
    /// Starts of a task that another worker was running.
    std::size_t doubleRuns = 0;
    /// Longest wait of a backfill job after the burst and the settling time, whatever room there
    /// was.
    Duration longestWaitAfter {};
    /// Mean shares of the cores that serving jobs ask for, and that their running tasks reserve,
    /// during the burst after the settling time.
    double askedByServing = 0;
    double reservedByServing = 0;
    /// Long-running tasks that the scheduler has stopped to run them elsewhere, by kind, and how
    /// many of these exceeded the disruption budget of their step.
    std::array<std::size_t, workKindCount> moves {};
    std::array<std::size_t, workKindCount> movesOverBudget {};
    /// Mean time of serving tasks over their target, as a share of their time.
    double overTarget = 0;
    /// Longest time for which the tail latency of a serving task was over its target on end, from
    /// the settling time on.
    Duration longestOverTarget {};
};

/// Simulation in virtual time of workers on which backfill tasks slow down serving tasks.
class ColocationFleet
{
public:
    ColocationFleet(const JobSchedulerSettings &settings, std::uint64_t seed,
                    const ColocationLoad &load);
    ColocationResult run();

private:
    /// Time that a message takes.
    static constexpr Duration transit = std::chrono::milliseconds(1);

    /// A run as its worker knows it.
    struct SimulatedRun
    {
        RunNumber number;
        const StepSpec *spec = nullptr;
        /// Work done, in seconds at full share.
        double progress = 0;
        std::int64_t percent = 100;
        /// Part of the tail latency that stays after its cause has gone, as a share of the target.
        double backlog = 0;
        /// Sum and number of the loads since the last reading.
        double loadSum = 0;
        int loads = 0;
        std::int64_t reading = -1;
        /// Time on end for which its tail latency has been over its target.
        Duration overTarget {};
        /// Told to stop.
        bool isStopping = false;
    };
    struct SimulatedWorker
    {
        WorkerLife life;
        std::map<TaskKey, SimulatedRun> running;
        std::vector<EndedRow> ended;
        std::uint64_t lastEnd = 0;
        std::uint64_t sequence = 0;
        /// The renewals that wait for an end, by order.
        std::map<std::uint64_t, RenewWorkerLease> waiting;
        /// Cores that nothing has used in the last step.
        double unusedCores = 0;
        bool isUp = true;
        /// Latest tenure whose orders it has accepted.
        Tenure tenure;
        std::int64_t leaseEndMs = 0;
        /// Latest end of a lease in an order to it, whether it got there or not.
        std::int64_t orderedLeaseEndMs = 0;
        /// Highest number of a run that was stopped or has ended, by task.
        std::map<TaskKey, RunNumber> over;
        /// Since when it is silent, and the tasks that it has been at work on since.
        std::optional<Timestamp> silentSince;
        std::set<TaskKey> unseen;

        [[nodiscard]] bool isInTouch() const { return isUp && !silentSince; }
    };

    /// A job as stored in the replicated state.
    struct SimulatedJob
    {
        WorkKind kind = WorkKind::Plain;
        QueueSpec queue;
        std::shared_ptr<const JobSpec> spec;
        std::int64_t submittedUs = 0;
        std::int64_t lastRunEndUs = 0;
        Tenure acceptedIn;
        /// See JobView::done; and the same by what the workers know, recorded or not.
        std::string done;
        std::string doneAtWorkers;
        std::map<TaskKey, CrashHistory> crashes;
        bool isOver = false;
    };

    /// When a backfill job last had a run, and last made progress; a time in which its turn has
    /// not come counts as both.
    struct JobWait
    {
        Timestamp lastRun;
        Timestamp lastProgress;
    };

    /// When a job or a long-running task last had a run; a time in which its turn has not come
    /// counts as one.
    struct TurnWait
    {
        Timestamp lastRun;
        /// When a backfill run of it last got a share of the processor.
        Timestamp lastProgress;
        bool hasCounted = false;
        bool hasCountedInherited = false;
        bool hasCountedWithRoom = false;
    };
    /// A job or a long-running task that could run, by what the workers run.
    struct Caller
    {
        TaskKey key;
        const SimulatedJob *job = nullptr;
        const StepSpec *step = nullptr;
        std::vector<TaskKey> tasks;
    };
    struct CallerWaits
    {
        CallerWait any;
        CallerWait withRoom;
        bool hasCounted = false;
    };
    /// A job or a long-running task whose turn has come.
    struct Turn
    {
        const SimulatedJob *job = nullptr;
        TurnWait *wait = nullptr;
        /// Resources of each of the tasks that have to start together.
        Size size;
        std::size_t tasks = 1;
    };

    void at(Duration delay, std::function<void()> fn)
    {
        m_events.emplace(m_at.now + delay, std::move(fn));
    }
    /// Calls the scheduler after the given time, unless its tenure has ended by then.
    void answerLater(std::function<void()> fn, Duration after = transit);
    void carryOut();
    void start(const StartRun &command);
    void stop(const StopRun &command);
    void pace(const PaceRun &command);
    OrderOutcome carryOutStart(const StartRun &command, Tenure tenure);
    OrderOutcome carryOutStop(const StopRun &command, Tenure tenure);
    OrderOutcome carryOutPace(const PaceRun &command, Tenure tenure);
    OrderOutcome carryOutRenewal(const RenewWorkerLease &command, Tenure tenure);
    /// Done where the order reached its worker and isn't outdated.
    OrderOutcome accept(const OrderTarget &target, Tenure tenure);
    static void extendLease(Moment at, SimulatedWorker *worker, std::int64_t endMs);
    /// Zero for an order that is carried out in time, or not at all.
    [[nodiscard]] Duration drawLateness(const OrderTarget &target);
    void noteLease(const OrderTarget &target, std::int64_t endMs);
    /// True when the worker is not silent.
    [[nodiscard]] bool isReached(const OrderTarget &target) const;
    /// True when what is sent now is in flight as the leader is lost.
    [[nodiscard]] bool isLeaderAboutToGo() const;
    [[nodiscard]] static std::size_t placeOf(const SimulatedJob &job, const TaskKey &task);
    void end(SimulatedWorker *worker, const TaskKey &task, RunEnd end);
    void renew(const RenewWorkerLease &command);
    void answer(const SimulatedWorker &worker, const RenewWorkerLease &renewal);
    void report(SimulatedWorker *worker);
    void advanceRuns(SimulatedWorker *worker);
    void takeReadings();
    [[nodiscard]] double ownLoad(JobId job) const;
    void answerAdvice(const RequestPermits &request);
    void recordEnds(const RecordEnds &command);
    void recordExposures(const RecordExposures &command);
    void endTenure();
    void beginTenure();
    void loseLeaderLater();
    [[nodiscard]] Duration drawLeaderless();
    /// Loses the leader after the first time, and the next one after the second, unless it is zero.
    void loseLeader(Duration after, Duration nextAfter);
    void takeWorkersAway();
    void silenceWorkers();
    void silence(SimulatedWorker *worker);
    void endSilence(SimulatedWorker *worker);
    void restartUnseen(SimulatedWorker *worker);
    void dropRenewals(SimulatedWorker *worker);
    /// A renewal gets no answer.
    void leaveUnanswered(const RenewWorkerLease &renewal);
    void leave(SimulatedWorker *worker, Timestamp latest);
    void shutDown(SimulatedWorker *worker);
    void clearLife(SimulatedWorker *worker);
    void bringBack(SimulatedWorker *worker);
    void addWorker();
    void checkMove(const StopRun &command);
    JobId submit(WorkKind kind, const JobSpec &spec, const QueueSpec &queue);
    void cancel(JobId job);
    void submitServing();
    void submitBackfill();
    void submitShort();
    void submitOther(WorkKind kind);
    [[nodiscard]] std::string drawBackfillImage();
    /// Submits jobs at the given usual rate until the simulation ends.
    void repeat(double perSecond, bool isEven, const std::function<void()> &fn,
                bool serving = false);
    /// @param[in] serving the rate is that of serving jobs
    [[nodiscard]] double factor(bool serving) const;
    void endBurst();
    void crash(SimulatedWorker *worker);
    void checkJobs();
    void checkTurns();
    [[nodiscard]] std::vector<Turn> findTurns();
    void checkCallers();
    /// The jobs and long-running tasks that could run, those with a run apart from the others.
    void findCallers(std::vector<Caller> *waiting, std::vector<TaskKey> *others) const;
    [[nodiscard]] bool hasRoomForCallers(const std::vector<Caller> &waiting) const;
    void checkIdleRoom();
    /// Resources of each worker in touch that no task has reserved.
    [[nodiscard]] std::vector<Size> unreservedRooms() const;
    /// Share of the cores of the workers in touch that is reserved.
    [[nodiscard]] double reservedShare() const;
    /// True when there is room for the task, or all tasks of the gang, twice over.
    [[nodiscard]] static bool fitsTwice(const Caller &caller, const std::vector<Size> &rooms);
    /// Tasks that a silent worker may be at work on as far as a leader can know.
    [[nodiscard]] std::unordered_set<TaskKey> findUnseen() const;
    /// True when a silent worker may be at work on each task, or on one of a gang, or on tasks that
    /// come before these.
    [[nodiscard]] static bool isHeldBy(const std::unordered_set<TaskKey> &unseen,
                                       const Caller &caller);
    /// Cores that serving jobs ask for, and those of the workers that take new work.
    [[nodiscard]] double coresAsked() const;
    [[nodiscard]] double coresUp() const;
    [[nodiscard]] WaitCause causeOf(const Caller &caller) const;
    void countTurn(const Turn &turn);
    void checkTurnsWithRoom(const std::vector<Turn> &turns);
    /// Resources of a worker that no task uses or has reserved, where backfill tasks that are
    /// paused or slowed down count as absent.
    [[nodiscard]] static Size usableRoom(const SimulatedWorker &worker);
    void countServing();
    void checkSuspects();
    void countLast();
    [[nodiscard]] double uniform();
    /// Draws what goes wrong, apart from what arrives.
    [[nodiscard]] double troubleUniform();

    ColocationLoad m_load;
    std::mt19937_64 m_random;
    std::mt19937_64 m_trouble;
    Moment m_at { timestampFromMicroseconds(10'000'000), 1'000'000'000 };
    Timestamp m_beganAt = m_at.now;
    JobSchedulerSettings m_settings;
    /// Null while there is no leader.
    std::unique_ptr<JobScheduler> m_scheduler;
    /// Waits on the callers' clocks count.
    bool m_hasTrouble = false;
    Tenure m_tenure { 1 };
    Timestamp m_tenureBeganAt;
    Timestamp m_tenureEndedAt;
    Timestamp m_tenureEndsAt = Timestamp::max();
    std::map<WorkerName, WorkerLife> m_recordedWorkers;
    /// Starts that wait for their record, by its batch.
    std::multimap<std::uint64_t, StartRun> m_unrecordedStarts;
    std::map<std::pair<std::string, std::string>, InterferenceEstimate> m_estimates;
    /// When the advisor is done with the requests so far.
    Timestamp m_advisorBusyUntil;
    std::multimap<Timestamp, std::function<void()>> m_events;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::unordered_map<std::string, SimulatedWorker *> m_names;
    std::unordered_map<std::uint64_t, SimulatedJob> m_jobs;
    std::vector<JobId> m_servingJobs;
    std::unordered_map<JobId, JobWait> m_jobWaits;
    /// By job, or by long-running task.
    std::unordered_map<TaskKey, TurnWait> m_turnWaits;
    std::unordered_map<TaskKey, CallerWaits> m_callerWaits;
    std::unordered_map<TaskKey, CallerWait> m_idleRoomWaits;
    /// What had no run as the tenure began and has had none since.
    std::unordered_map<TaskKey, CallerWait> m_firstStarts;
    std::size_t m_servingSamples = 0;
    /// Since when there is room for two tasks of each backfill job without a run.
    Timestamp m_roomSince = Timestamp::max();
    /// Since when there is room for two tasks of all that waits.
    Timestamp m_roomForEachSince = Timestamp::max();
    /// Since when suspected tasks wait.
    std::map<TaskKey, Timestamp> m_suspects;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastRenewal = 0;
    bool m_acceptsLoad = true;
    bool m_hasCrashed = false;
    bool m_isLastPart = false;
    double m_overTargetTime = 0;
    double m_servingTime = 0;
    std::size_t m_lastSamples = 0;
    ColocationResult m_result;
};

} // namespace acaciafork::jobs
