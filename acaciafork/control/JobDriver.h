#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/control/ControlPorts.h"
#include "acaciafork/control/JobPorts.h"
#include "acaciafork/control/ProposalTable.h"
#include "acaciafork/control/RecordQueue.h"
#include "acaciafork/decisions/jobs/Jobs.h"
#include "acaciafork/peers/Peers.h"
#include "acaciafork/state/State.h"

namespace acaciafork::control {

/// Runs the scheduler of jobs on the leader: brings it the changes of the replicated state, makes
/// durable what it decides, hands its orders to the workers' port, and answers calls about jobs.
class JobDriver : public WorkerAnswers
{
public:
    /// Proposes a command; see ControlNode::propose().
    using Propose = std::function<bool(Moment, wire::Command, ProposalTable::Handler)>;
    /// Gets the answer to a call, once; never for a call whose outcome is not known.
    using Reply = peers::CallTable::Handler;

    JobDriver(const jobs::JobSchedulerSettings &settings, const state::StateMachine *machine,
              Propose propose, CounterRegistry *counters);

    /// Where orders go; without one nothing is scheduled.
    void setOrders(WorkerOrders *orders) { m_orders = orders; }

    /// Who knows which workers may run a step; without one, queues with such a policy wait.
    void setAdvisor(PlacementAdvisor *advisor) { m_advisor = advisor; }

    /// Zones that changeZone() takes besides those of recorded workers.
    void setZoneNames(std::vector<std::string> names) { m_zoneNames = std::move(names); }

    /// This member leads from now on; the scheduler begins once its tenure is committed.
    void start(Moment at);
    void stop();
    /// True while the scheduler works.
    [[nodiscard]] bool isActive() const { return m_isActive; }

    /// A command was applied on the leader.
    void applied(Moment at, const wire::Command &command, const state::ApplyResult &result);
    /// Time has passed; every 10 ms.
    void tick(Moment at);
    /// Carries out what was decided in this turn; at its end.
    void carryOut(Moment at);

    /// @name Calls
    /// @{
    /// A call about a job or a queue, from an entry.
    void call(Moment at, const wire::JobCall &call, const Reply &reply);
    /// A configuration of queues that its reader has found valid.
    void configure(Moment at, wire::QueueConfig config, const Reply &reply);
    /// Closes an availability zone to new starts, or opens it. Acknowledged once it is applied,
    /// also when the zone is in that state; not answered while the outcome is not known. Refused
    /// with 404 for an unknown zone, and with 503 where it can't be proposed.
    void changeZone(Moment at, std::string_view zone, bool closed, const Reply &reply);
    /// A worker's report. Word that it leaves is answered once every later leader will know of it,
    /// any other report at once.
    void workerReported(Moment at, const jobs::WorkerReport &report, const Reply &reply);
    /// A worker ends once it is answered, which is after its last ends of runs have been read.
    void workerLeft(Moment at, const WorkerName &name, Incarnation born, const Reply &reply);
    /// @}

    /// @name Answers of workers
    /// @{
    void startAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
    void stopAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) override;
    void renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                         const jobs::RenewalAnswer *lists) override;
    void permitsAnswered(Moment at, const PermitAnswer &answer);
    /// @}

    [[nodiscard]] jobs::Tenure tenure() const { return m_tenure; }
    [[nodiscard]] const jobs::JobScheduler &scheduler() const { return m_scheduler; }
    [[nodiscard]] const state::StateMachine &state() const { return *m_state; }

private:
    friend struct JobCommandRunner;

    void proposeTenure(Moment at);
    /// Begins a new tenure where a worker's fence is above this one and this member still leads.
    void renewIfFenced(Timestamp now);
    void begin(Moment at, std::uint64_t tenure);
    /// Discards the records and the waiting calls of a tenure that ends.
    void leaveTenure();
    [[nodiscard]] std::vector<std::string> closedZones() const;
    [[nodiscard]] bool isKnownZone(std::string_view zone) const;
    /// @name A record of the scheduler is committed, and all before it of its kind
    /// @{
    void recorded(Moment at, const jobs::RecordEnds &record);
    void recorded(Moment at, const jobs::RecordExposures &record);
    void recorded(Moment at, const jobs::RecordWorkers &record);
    /// @}
    void submit(Moment at, const wire::Queue &queue, std::uint64_t id, const wire::JobCall &call,
                const Reply &reply);
    /// Answers the workers that the scheduler has let go.
    void answerEndingWorkers(Timestamp now);
    struct Submission;
    /// Reserves the memory that a job takes once it is accepted, and notes how much it is.
    /// @return the memory that is missing; nothing is reserved unless it is 0
    [[nodiscard]] std::size_t reserveMemory(const wire::SubmitJob &job, Submission *submission);
    void releaseMemory(std::uint64_t id);
    void answerSubmission(std::uint64_t id, const peers::ApiAnswer &answer);
    void tell(std::uint64_t id, const Reply &reply) const;
    /// Answers a call for the state of a job now, or within the given wait if the job is about to
    /// end: its caller would else learn of the end only by its next call.
    void tellOrWait(Moment at, std::uint64_t id, Duration wait, const Reply &reply);
    /// Answers the calls whose job has ended and those that have waited for as long as they may.
    void answerWaitingCalls(Timestamp now);
    void cancel(Moment at, std::uint64_t id, const Reply &reply);
    [[nodiscard]] bool isOf(jobs::Tenure tenure) const { return m_isActive && tenure == m_tenure; }

    const state::StateMachine *m_state;
    Propose m_propose;
    WorkerOrders *m_orders = nullptr;
    PlacementAdvisor *m_advisor = nullptr;
    std::vector<std::string> m_zoneNames;
    jobs::JobScheduler m_scheduler;
    jobs::Tenure m_tenure;
    bool m_isActive = false;
    bool m_isStarting = false;
    Timestamp m_startAgainAt;
    /// Since when the scheduler is fenced; Timestamp::max() while it is not.
    Timestamp m_fencedSince = Timestamp::max();
    /// A new tenure is being proposed in place of one that is fenced.
    bool m_isRenewing = false;
    /// Records that are not known to be committed.
    RecordQueue<jobs::RecordEnds> m_endRecords;
    RecordQueue<jobs::RecordExposures> m_exposureRecords;
    RecordQueue<jobs::RecordWorkers> m_workerRecords;
    /// Start that waits for its record.
    struct UnrecordedStart
    {
        jobs::StartRun start;
        Timestamp since;
    };
    /// By the batch that records them.
    std::multimap<std::uint64_t, UnrecordedStart> m_unrecordedStarts;
    struct Submission
    {
        std::vector<Reply> replies;
        std::string queue;
        /// Memory that is reserved for the job until it is in the scheduler.
        std::size_t bytes = 0;
    };
    /// Submissions that are proposed and not committed, with all that wait for the outcome. A call
    /// that repeats one gets the same answer: a refusal of the repetition would be untrue.
    std::map<std::uint64_t, Submission> m_submissions;
    /// Call for the state of a job that is about to end.
    struct WaitingCall
    {
        Reply reply;
        Timestamp until;
    };
    std::multimap<std::uint64_t, WaitingCall> m_waitingCalls;
    /// Workers whose word that they leave is not recorded yet, and who waits for it.
    std::multimap<WorkerName, Reply> m_leaving;
    /// Workers that have said that they end, until the scheduler lets go of them.
    std::multimap<WorkerName, Reply> m_ending;
    Timestamp m_nextGauge;
    /// Leadership that this member is in; answers of proposals of another one are stale.
    std::uint64_t m_leadership = 0;

    Counter *m_accepted;
    Counter *m_refused;
    Counter *m_cancelled;
    Counter *m_started;
    Counter *m_done;
    Counter *m_failed;
    Counter *m_lost;
    Counter *m_unanswered;
    Counter *m_workerCrashes;
    Counter *m_mostLostRuns;
    Counter *m_trials;
    Counter *m_convictedTasks;
    Counter *m_exploringStarts;
    Counter *m_harmfulStarts;
    Counter *m_heldBackStarts;
    Counter *m_longestWait;
    Counter *m_blockedSteps;
    Counter *m_longestTaskWait;
    Counter *m_astrayTasks;
    Counter *m_longestLongRunningWait;
    Counter *m_waitingLongRunning;
    Counter *m_passedOver;
    Counter *m_zonesClosed;
    Counter *m_relocations;
    Counter *m_openWorkers;
    Counter *m_gapsKept;
    Counter *m_gapsUsed;
    Counter *m_gapsGivenUp;
    Counter *m_definitionBytes;
    Counter *m_recordBytes;
    Counter *m_occurrenceBytes;
    Counter *m_resultBytes;
    Counter *m_endedBytes;
    /// From a submission to its commit.
    Histogram *m_commitTime;
    /// From the moment that a task may start to its start.
    Histogram *m_waitTime;
    Histogram *m_startRecordTime;
    /// From acceptance to completion.
    Histogram *m_jobTime;
};

/// Queue that a path of a host belongs to, the longest prefix first, or null.
const wire::Queue *findQueue(const wire::QueueConfig &config, std::string_view host,
                             std::string_view path);

} // namespace acaciafork::control
