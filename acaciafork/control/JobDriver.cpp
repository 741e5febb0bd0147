#include "acaciafork/control/JobDriver.h"

#include <algorithm>
#include <charconv>

#include <spdlog/spdlog.h>

#include "acaciafork/control/JobCodec.h"
#include "acaciafork/control/JobCommandRunner.h"

namespace acaciafork::control {
namespace {

/// Pause before a tenure that could not be proposed is proposed again.
constexpr Duration startAgainAfter = std::chrono::milliseconds(100);
/// A leader whose scheduler has been fenced for this long, and that leads on, begins a new tenure.
constexpr Duration renewTenureAfter = std::chrono::seconds(1);
/// When a client may come back that was refused since the state can't be changed now; an election
/// takes about half of it.
constexpr std::string_view notNow = R"({"error":{"kind":"not-ready"},"retryAfterMs":1000})";
constexpr std::size_t jobIdDigits = 16;
/// Interval between updates of gauges that take a walk over all jobs.
constexpr Duration gaugeInterval = std::chrono::seconds(2);
/// Most calls that wait for the end of a job; further ones are answered at once.
constexpr std::size_t mostWaitingCalls = 1'000;

peers::ApiAnswer refusedForNow()
{
    return { .status = 503, .body = std::string(notNow) };
}

peers::ApiAnswer refusedForMemory(Duration wait)
{
    return { .status = 503,
             .body = fmt::format(R"({{"error":{{"kind":"overloaded","detail":"no memory for the )"
                                 R"(tasks of this job now"}},"retryAfterMs":{}}})",
                                 wait / std::chrono::milliseconds(1)) };
}

/// An answer that its status tells all of.
peers::ApiAnswer plain(int status)
{
    return { .status = status, .body = "{}" };
}

/// A job's id from its text; false for any other text.
bool parseJobId(std::string_view text, std::uint64_t *id)
{
    if (text.size() != jobIdDigits)
        return false;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), *id, 16);
    return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

const wire::Queue *findQueue(const wire::QueueConfig &config, std::string_view host,
                             std::string_view path)
{
    const wire::Queue *best = nullptr;
    for (const wire::Queue &it : config.queues()) {
        if (it.host() == host && path.starts_with(it.path_prefix())
            && (best == nullptr || it.path_prefix().size() > best->path_prefix().size()))
            best = &it;
    }
    return best;
}

JobDriver::JobDriver(const jobs::JobSchedulerSettings &settings, const state::StateMachine *machine,
                     Propose propose, CounterRegistry *counters)
    : m_state(machine)
    , m_propose(std::move(propose))
    , m_scheduler(settings)
    , m_accepted(&counters->counter("jobs_total{outcome=\"accepted\"}"))
    , m_refused(&counters->counter("jobs_total{outcome=\"refused\"}"))
    , m_cancelled(&counters->counter("jobs_total{outcome=\"cancelled\"}"))
    , m_started(&counters->counter("task_runs_started", MetricKind::Gauge))
    , m_done(&counters->counter("tasks_done", MetricKind::Gauge))
    , m_failed(&counters->counter("task_runs_failed", MetricKind::Gauge))
    , m_lost(&counters->counter("task_runs_lost", MetricKind::Gauge))
    , m_unanswered(&counters->counter("task_starts_unanswered", MetricKind::Gauge))
    , m_workerCrashes(&counters->counter("worker_crashes", MetricKind::Gauge))
    , m_mostLostRuns(&counters->counter("task_most_runs_lost", MetricKind::Gauge))
    , m_trials(&counters->counter("task_trials", MetricKind::Gauge))
    , m_convictedTasks(&counters->counter("tasks_convicted", MetricKind::Gauge))
    , m_exploringStarts(&counters->counter("backfill_starts_exploring", MetricKind::Gauge))
    , m_harmfulStarts(&counters->counter("backfill_starts_harmful", MetricKind::Gauge))
    , m_heldBackStarts(&counters->counter("backfill_starts_held_back", MetricKind::Gauge))
    , m_longestWait(&counters->counter("steps_longest_wait_ms", MetricKind::Gauge))
    , m_blockedSteps(&counters->counter("steps_blocked", MetricKind::Gauge))
    , m_longestTaskWait(&counters->counter("tasks_longest_wait_ms", MetricKind::Gauge))
    , m_astrayTasks(&counters->counter("tasks_astray", MetricKind::Gauge))
    , m_longestLongRunningWait(
              &counters->counter("long_running_longest_wait_ms", MetricKind::Gauge))
    , m_waitingLongRunning(&counters->counter("long_running_tasks_waiting", MetricKind::Gauge))
    , m_passedOver(&counters->counter("long_running_passed_over", MetricKind::Gauge))
    , m_zonesClosed(&counters->counter("zones_closed", MetricKind::Gauge))
    , m_relocations(&counters->counter("serving_relocations", MetricKind::Gauge))
    , m_openWorkers(&counters->counter("open_workers", MetricKind::Gauge))
    , m_gapsKept(&counters->counter("gaps_kept", MetricKind::Gauge))
    , m_gapsUsed(&counters->counter("gaps_used", MetricKind::Gauge))
    , m_gapsGivenUp(&counters->counter("gaps_given_up", MetricKind::Gauge))
    , m_definitionBytes(&counters->counter("job_bytes{kind=\"definitions\"}", MetricKind::Gauge))
    , m_recordBytes(&counters->counter("job_bytes{kind=\"records\"}", MetricKind::Gauge))
    , m_occurrenceBytes(&counters->counter("job_bytes{kind=\"occurrences\"}", MetricKind::Gauge))
    , m_resultBytes(&counters->counter("job_bytes{kind=\"results\"}", MetricKind::Gauge))
    , m_endedBytes(&counters->counter("job_bytes{kind=\"ended\"}", MetricKind::Gauge))
    , m_commitTime(&counters->histogram("job_commit_seconds"))
    , m_waitTime(&counters->histogram("task_wait_seconds"))
    , m_startRecordTime(&counters->histogram("start_record_seconds"))
    , m_jobTime(&counters->histogram("job_seconds"))
{ }

// ---- tenure

void JobDriver::start(Moment at)
{
    ++m_leadership;
    m_isStarting = m_orders != nullptr;
    m_startAgainAt = at.now;
    tick(at);
}

void JobDriver::stop()
{
    if (m_isActive)
        spdlog::info("event=tenure-ended tenure={}", m_tenure.value);
    ++m_leadership;
    m_isStarting = false;
    m_isActive = false;
    m_tenure = {};
    leaveTenure();
    // Whether these will be accepted is not known: they get no answer.
    m_submissions.clear();
    // Whoever asked asks the next leader.
    m_waitingCalls.clear();
    m_scheduler.end();
}

void JobDriver::leaveTenure()
{
    m_isRenewing = false;
    m_fencedSince = Timestamp::max();
    m_endRecords.clear();
    m_exposureRecords.clear();
    m_workerRecords.clear();
    m_unrecordedStarts.clear();
    // Workers that wait for a record or for their last lists to be read ask the next scheduler.
    for (const auto &[name, reply] : m_leaving)
        reply(refusedForNow());
    m_leaving.clear();
    for (const auto &[name, reply] : m_ending)
        reply(refusedForNow());
    m_ending.clear();
}

void JobDriver::begin(Moment at, std::uint64_t tenure)
{
    leaveTenure();
    const std::vector<jobs::QueueSpec> queues = toJobs(m_state->queues().current());
    // Ages are counted on the replicated clock: that of this process may have been stepped back.
    const std::int64_t clockLagUs = m_state->nowMicroseconds() - at.wallMicroseconds;
    std::vector<jobs::JobView> views;
    for (const auto &[id, job] : m_state->jobs().all()) {
        jobs::JobView &view = views.emplace_back(toJobs(job, m_state->queues().current()));
        view.submittedUs -= clockLagUs;
        if (view.lastRunEndUs != 0)
            view.lastRunEndUs -= clockLagUs;
    }
    std::vector<jobs::WorkerLife> workers;
    for (const auto &[name, life] : m_state->workers().all())
        workers.push_back(toJobs(life));
    m_tenure = { tenure };
    m_isActive = true;
    std::vector<jobs::InterferenceEstimate> learnt;
    for (const wire::DisturbancePair &it : m_state->workers().disturbance().pairs())
        learnt.push_back(toJobs(it));
    m_scheduler.begin(at, m_tenure, queues, views, workers, learnt, closedZones());
    // Those of a tenure that is renewed go on.
    for (const auto &[id, submission] : m_submissions) {
        if (submission.bytes > 0)
            m_scheduler.memory().submissionBegan(submission.queue, submission.bytes);
    }
}

std::vector<std::string> JobDriver::closedZones() const
{
    std::vector<std::string> names;
    for (const auto &[name, closure] : m_state->closedZones().all())
        names.push_back(name);
    return names;
}

bool JobDriver::isKnownZone(std::string_view zone) const
{
    return m_state->closedZones().all().contains(zone)
            || std::ranges::find(m_zoneNames, zone) != m_zoneNames.end()
            || std::ranges::any_of(m_state->workers().all(),
                                   [&](const auto &it) { return it.second.zone() == zone; });
}

void JobDriver::proposeTenure(Moment at)
{
    m_isStarting = false;
    m_startAgainAt = at.now + startAgainAfter;
    wire::Command proposal;
    proposal.mutable_begin_tenure();
    const std::uint64_t leadership = m_leadership;
    const bool accepted =
            m_propose(at, std::move(proposal),
                      [this, leadership](Moment when, const state::ApplyResult *result) {
                          if (leadership != m_leadership)
                              return;
                          if (result != nullptr)
                              begin(when, result->version());
                          else
                              m_isStarting = true;
                      });
    if (!accepted)
        m_isStarting = true;
}

void JobDriver::renewIfFenced(Timestamp now)
{
    if (m_isRenewing || !m_scheduler.isFenced())
        return;
    m_fencedSince = std::min(m_fencedSince, now);
    if (now - m_fencedSince < renewTenureAfter)
        return;
    spdlog::warn("event=tenure-renewed tenure={} reason=fenced", m_tenure.value);
    m_isRenewing = true;
    m_isStarting = true;
}

void JobDriver::tick(Moment at)
{
    if (at.now >= m_nextGauge) {
        m_nextGauge = at.now + gaugeInterval;
        m_resultBytes->set(static_cast<std::int64_t>(m_state->jobs().resultBytes()));
        m_endedBytes->set(static_cast<std::int64_t>(m_state->jobs().endedBytes()));
    }
    m_scheduler.memory().setRetained(m_state->jobs().endedBytes());
    if (m_isActive)
        renewIfFenced(at.now);
    if (m_isStarting && at.now >= m_startAgainAt)
        proposeTenure(at);
    if (!m_isActive)
        return;
    m_scheduler.tick(at);
    answerEndingWorkers(at.now);
    answerWaitingCalls(at.now);

    // What could not be proposed, as while the disk is full, is proposed again.
    if (!m_isRenewing)
        JobCommandRunner { .driver = *this, .at = at }.proposeRecords();

    const jobs::JobSchedulerCounts &counts = m_scheduler.counts();
    m_started->set(static_cast<std::int64_t>(counts.started));
    m_done->set(static_cast<std::int64_t>(counts.done));
    m_failed->set(static_cast<std::int64_t>(counts.failed));
    m_lost->set(static_cast<std::int64_t>(counts.lost));
    m_unanswered->set(static_cast<std::int64_t>(counts.unanswered));
    m_workerCrashes->set(static_cast<std::int64_t>(counts.workerCrashes));
    m_mostLostRuns->set(counts.mostLostRuns);
    m_trials->set(static_cast<std::int64_t>(counts.trials));
    m_convictedTasks->set(static_cast<std::int64_t>(counts.convictedTasks));
    m_exploringStarts->set(static_cast<std::int64_t>(counts.exploringStarts));
    m_harmfulStarts->set(static_cast<std::int64_t>(counts.harmfulStarts));
    m_heldBackStarts->set(static_cast<std::int64_t>(counts.heldBackStarts));
    m_longestWait->set(counts.longestWait / std::chrono::milliseconds(1));
    m_blockedSteps->set(static_cast<std::int64_t>(counts.blockedSteps));
    m_longestTaskWait->set(counts.longestTaskWait / std::chrono::milliseconds(1));
    m_astrayTasks->set(static_cast<std::int64_t>(counts.astrayTasks));
    m_longestLongRunningWait->set(counts.longestLongRunningWait / std::chrono::milliseconds(1));
    m_waitingLongRunning->set(static_cast<std::int64_t>(counts.waitingLongRunning));
    m_passedOver->set(static_cast<std::int64_t>(counts.passedOver));
    m_zonesClosed->set(static_cast<std::int64_t>(m_scheduler.closedZones().size()));
    m_relocations->set(static_cast<std::int64_t>(counts.relocations));
    m_openWorkers->set(static_cast<std::int64_t>(counts.openWorkers));
    m_gapsKept->set(static_cast<std::int64_t>(counts.gapsKept));
    m_gapsUsed->set(static_cast<std::int64_t>(counts.gapsUsed));
    m_gapsGivenUp->set(static_cast<std::int64_t>(counts.gapsGivenUp));
    const jobs::JobMemory &memory = m_scheduler.jobs().memory();
    m_definitionBytes->set(static_cast<std::int64_t>(memory.definitions()));
    m_recordBytes->set(static_cast<std::int64_t>(memory.records()));
    m_occurrenceBytes->set(static_cast<std::int64_t>(memory.occurrences()));
}

void JobDriver::carryOut(Moment at)
{
    // The next tenure reads from the workers' lists what is not recorded yet.
    if (!m_isActive || m_isRenewing)
        return;
    const JobCommandRunner runner { .driver = *this, .at = at };
    for (const jobs::Command &it : m_scheduler.takeCommands(at))
        std::visit(runner, it);
}

void JobDriver::applied(Moment at, const wire::Command &command, const state::ApplyResult &result)
{
    if (!m_isActive || result.outcome() != wire::OUTCOME_APPLIED)
        return;
    if (command.body_case() == wire::Command::kSubmitJob) {
        const state::Job *job = m_state->jobs().find(command.submit_job().job());
        ACACIAFORK_ASSERT(job != nullptr);
        m_accepted->add();
        releaseMemory(job->id);
        spdlog::info("event=job-accepted job={:016x} queue={} steps={} tasks={}", job->id,
                     job->queue.name(), job->spec->steps_size(), job->results.taskCount());
        m_scheduler.jobAccepted(at, toJobs(*job, m_state->queues().current()));
    } else if (command.body_case() == wire::Command::kCancelJob) {
        m_cancelled->add();
        spdlog::info("event=job-cancelled job={:016x}", command.cancel_job().job());
        m_scheduler.jobCancelled(at, { command.cancel_job().job() });
        answerWaitingCalls(at.now);
    } else if (command.body_case() == wire::Command::kRecordTaskEnds) {
        answerWaitingCalls(at.now);
    } else if (command.body_case() == wire::Command::kProposeQueues) {
        const std::vector<jobs::QueueSpec> queues = toJobs(m_state->queues().current());
        spdlog::info("event=queues-in-force version={} queues={}", m_state->queues().version(),
                     queues.size());
        m_scheduler.queuesChanged(at, queues);
    } else if (command.body_case() == wire::Command::kChangeZone) {
        const wire::ChangeZone &change = command.change_zone();
        if (change.closed())
            spdlog::info("event=zone-closed zone={} closed={}", change.zone(),
                         m_state->closedZones().all().size());
        else
            spdlog::info("event=zone-opened zone={} closed={}", change.zone(),
                         m_state->closedZones().all().size());
        m_scheduler.zonesChanged(at, closedZones());
    }
}

// ---- calls

void JobDriver::call(Moment at, const wire::JobCall &call, const Reply &reply)
{
    const wire::QueueConfig &config = m_state->queues().current();
    if (!m_isActive || config.version() == 0) {
        reply(refusedForNow());
        return;
    }
    const wire::Queue *queue = findQueue(config, call.host(), call.path());
    if (queue == nullptr) {
        reply(peers::failureAnswer(FailureKind::NotFound, "no queue has this host and path"));
        return;
    }
    const std::string_view rest = std::string_view(call.path()).substr(queue->path_prefix().size());
    if (rest.empty() && call.action() == wire::JobCall::STATE) {
        reply({ .status = 200,
                .body = fmt::format(R"({{"pending":{}}})", m_scheduler.pending(queue->name())) });
        return;
    }
    std::uint64_t id = 0;
    if (!parseJobId(rest, &id)) {
        reply(peers::failureAnswer(FailureKind::InvalidArgument,
                                   "a job's id has 16 hexadecimal digits"));
        return;
    }
    switch (call.action()) {
    case wire::JobCall::SUBMIT:
        submit(at, *queue, id, call, reply);
        break;
    case wire::JobCall::CANCEL:
        cancel(at, id, reply);
        break;
    default:
        tellOrWait(at, id, Duration(call.wait_us()), reply);
        break;
    }
}

void JobDriver::submit(Moment at, const wire::Queue &queue, std::uint64_t id,
                       const wire::JobCall &call, const Reply &reply)
{
    if (m_state->jobs().stateOf(id)) {
        reply(plain(200));
        return;
    }
    const auto [submission, isFirst] = m_submissions.try_emplace(id);
    submission->second.replies.push_back(reply);
    if (!isFirst)
        return;
    wire::Command proposal;
    wire::SubmitJob *job = proposal.mutable_submit_job();
    if (call.malformed() || !job->mutable_spec()->ParseFromString(call.spec())) {
        answerSubmission(
                id, peers::failureAnswer(FailureKind::InvalidArgument, "the body is not a job"));
        return;
    }
    job->set_job(id);
    *job->mutable_queue() = queue;
    if (const std::string problem = state::Jobs::validationError(job->spec()); !problem.empty()) {
        m_refused->add();
        spdlog::info("event=job-refused job={:016x} queue={} reason=invalid detail=\"{}\"", id,
                     queue.name(), problem);
        answerSubmission(id, peers::failureAnswer(FailureKind::InvalidArgument, problem));
        return;
    }
    if (const std::size_t missing = reserveMemory(*job, &submission->second); missing > 0) {
        const Duration wait = m_scheduler.memory().drainTime(missing);
        m_refused->add();
        spdlog::info("event=job-refused job={:016x} queue={} reason=memory missing-bytes={} "
                     "retry-after-ms={}",
                     id, queue.name(), missing, wait / std::chrono::milliseconds(1));
        answerSubmission(id, refusedForMemory(wait));
        return;
    }
    const std::uint64_t leadership = m_leadership;
    const bool accepted = m_propose(
            at, std::move(proposal),
            [this, id, leadership, began = at.now](Moment when, const state::ApplyResult *result) {
                // Not known whether it is accepted: whoever asked asks the next leader.
                if (result == nullptr || leadership != m_leadership)
                    return;
                if (state::succeeded(*result)) {
                    m_commitTime->observe(when.now - began);
                    answerSubmission(id, plain(200));
                    return;
                }
                spdlog::info("event=job-refused job={:016x} outcome={} detail=\"{}\"", id,
                             state::outcomeName(result->outcome()), result->detail());
                answerSubmission(id,
                                 result->outcome() == wire::OUTCOME_INVALID ? peers::failureAnswer(
                                         FailureKind::InvalidArgument, result->detail())
                                                                            : refusedForNow());
            });
    if (!accepted) {
        m_refused->add();
        spdlog::info("event=job-refused job={:016x} queue={} reason=cannot-propose", id,
                     queue.name());
        answerSubmission(id, refusedForNow());
    }
}

void JobDriver::answerSubmission(std::uint64_t id, const peers::ApiAnswer &answer)
{
    releaseMemory(id);
    const auto node = m_submissions.extract(id);
    for (const Reply &it : node.mapped().replies)
        it(answer);
}

std::size_t JobDriver::reserveMemory(const wire::SubmitJob &job, Submission *submission)
{
    const std::shared_ptr<const jobs::JobSpec> spec = toJobs(job.spec());
    const std::size_t definition = jobs::JobMemory::definitionBytes(*spec, storedBytes(job.spec()));
    // The occurrences of a scheduled job are opened as there is memory for them.
    const std::size_t occurrence = spec->isScheduled ? 0 : jobs::JobMemory::occurrenceBytes(*spec);
    const std::string &queue = job.queue().name();
    jobs::JobMemory &memory = m_scheduler.memory();
    const std::size_t missing = memory.shortage(queue, definition, occurrence);
    if (missing == 0) {
        submission->queue = queue;
        submission->bytes = definition + occurrence;
        memory.submissionBegan(queue, submission->bytes);
    }
    return missing;
}

void JobDriver::releaseMemory(std::uint64_t id)
{
    const auto it = m_submissions.find(id);
    if (it == m_submissions.end() || it->second.bytes == 0)
        return;
    m_scheduler.memory().submissionEnded(it->second.queue, it->second.bytes);
    it->second.bytes = 0;
}

void JobDriver::tell(std::uint64_t id, const Reply &reply) const
{
    const std::optional<wire::JobState> state = m_state->jobs().stateOf(id);
    if (!state) {
        reply(plain(410));
        return;
    }
    std::string_view word = "waiting";
    switch (*state) {
    case wire::JOB_STATE_COMPLETED:
        word = "completed";
        break;
    case wire::JOB_STATE_FAILED:
        word = "failed";
        break;
    case wire::JOB_STATE_CANCELLED:
        word = "cancelled";
        break;
    default: {
        const jobs::Job *active = m_scheduler.jobs().find(jobs::JobId { id });
        // A job that the scheduler has removed has ended; its record is not committed yet.
        if (active == nullptr || active->hasBegun)
            word = "running";
        break;
    }
    }
    reply({ .status = 200, .body = fmt::format(R"({{"state":"{}"}})", word) });
}

void JobDriver::tellOrWait(Moment at, std::uint64_t id, Duration wait, const Reply &reply)
{
    const bool isActive = m_state->jobs().find(id) != nullptr;
    if (isActive && wait > Duration {} && m_waitingCalls.size() < mostWaitingCalls
        && m_scheduler.isAboutToEnd({ id }))
        m_waitingCalls.emplace(id, WaitingCall { .reply = reply, .until = at.now + wait });
    else
        tell(id, reply);
}

void JobDriver::answerWaitingCalls(Timestamp now)
{
    for (auto it = m_waitingCalls.begin(); it != m_waitingCalls.end();) {
        const bool isActive = m_state->jobs().find(it->first) != nullptr;
        if (isActive && now < it->second.until) {
            ++it;
            continue;
        }
        tell(it->first, it->second.reply);
        it = m_waitingCalls.erase(it);
    }
}

void JobDriver::cancel(Moment at, std::uint64_t id, const Reply &reply)
{
    const std::optional<wire::JobState> state = m_state->jobs().stateOf(id);
    if (state != wire::JOB_STATE_ACTIVE) {
        reply(plain(state ? 200 : 410));
        return;
    }
    wire::Command proposal;
    proposal.mutable_cancel_job()->set_job(id);
    const bool accepted =
            m_propose(at, std::move(proposal), [reply](Moment, const state::ApplyResult *result) {
                if (result != nullptr)
                    reply(plain(200));
            });
    if (!accepted)
        reply(refusedForNow());
}

void JobDriver::configure(Moment at, wire::QueueConfig config, const Reply &reply)
{
    const std::uint64_t version = config.version();
    if (version <= m_state->queues().version()) {
        spdlog::info("event=queues-overtaken version={} held={}", version,
                     m_state->queues().version());
        reply(plain(200));
        return;
    }
    wire::Command proposal;
    *proposal.mutable_propose_queues()->mutable_config() = std::move(config);
    const bool accepted = m_propose(
            at, std::move(proposal), [reply, version](Moment, const state::ApplyResult *result) {
                if (result == nullptr) {
                    reply(refusedForNow());
                    return;
                }
                spdlog::info("event=queues-proposed version={} outcome={}", version,
                             state::outcomeName(result->outcome()));
                if (state::succeeded(*result))
                    reply(plain(200));
                else
                    reply(peers::failureAnswer(FailureKind::InvalidArgument, result->detail()));
            });
    if (!accepted)
        reply(refusedForNow());
}

void JobDriver::changeZone(Moment at, std::string_view zone, bool closed, const Reply &reply)
{
    if (!m_isActive) {
        reply(refusedForNow());
        return;
    }
    if (!state::isName(zone) || !isKnownZone(zone)) {
        reply(peers::failureAnswer(FailureKind::NotFound, "no worker is in a zone of this name"));
        return;
    }
    wire::Command proposal;
    proposal.mutable_change_zone()->set_zone(std::string(zone));
    proposal.mutable_change_zone()->set_closed(closed);
    const bool accepted =
            m_propose(at, std::move(proposal), [reply](Moment, const state::ApplyResult *result) {
                // Not known whether it takes effect: whoever asked asks the next leader.
                if (result != nullptr)
                    reply(state::succeeded(*result) ? plain(200) : refusedForNow());
            });
    if (!accepted)
        reply(refusedForNow());
}

void JobDriver::workerReported(Moment at, const jobs::WorkerReport &report, const Reply &reply)
{
    if (!m_isActive) {
        reply(refusedForNow());
        return;
    }
    m_scheduler.workerReported(at, report);
    const auto &recorded = m_state->workers().all();
    const auto it = recorded.find(report.life.name.value);
    const bool isRecorded = it != recorded.end() && it->second.draining()
            && it->second.born() == report.life.born.value;
    if (!report.life.draining || isRecorded)
        reply(plain(200));
    else
        m_leaving.emplace(report.life.name, reply);
}

void JobDriver::answerEndingWorkers(Timestamp now)
{
    for (auto it = m_ending.begin(); it != m_ending.end();) {
        if (m_scheduler.isLeaving(now, it->first)) {
            ++it;
            continue;
        }
        it->second(plain(200));
        it = m_ending.erase(it);
    }
}

void JobDriver::recorded(Moment at, const jobs::RecordEnds &record)
{
    m_scheduler.endsRecorded(at, record.batch);
}

void JobDriver::recorded(Moment at, const jobs::RecordExposures &record)
{
    m_scheduler.exposuresRecorded(at, record.batch);
    const JobCommandRunner runner { .driver = *this, .at = at };
    const auto [first, last] = m_unrecordedStarts.equal_range(record.batch);
    for (auto it = first; it != last; ++it) {
        auto &[start, since] = it->second;
        // While the tenure is renewed, nothing may be ordered in the old one.
        if (m_isRenewing || !m_scheduler.confirmStart(at, &start))
            continue;
        m_startRecordTime->observe(at.now - since);
        runner.order(start);
    }
    m_unrecordedStarts.erase(first, last);
}

void JobDriver::recorded(Moment at, const jobs::RecordWorkers &record)
{
    std::vector<WorkerName> names;
    for (const jobs::WorkerLife &it : record.put) {
        names.push_back(it.name);
        if (!it.draining)
            continue;
        const auto [first, last] = m_leaving.equal_range(it.name);
        for (auto waiting = first; waiting != last; ++waiting)
            waiting->second(plain(200));
        m_leaving.erase(first, last);
    }
    m_scheduler.workersRecorded(at, names);
}

void JobDriver::workerLeft(Moment at, const WorkerName &name, Incarnation born, const Reply &reply)
{
    if (!m_isActive) {
        reply(refusedForNow());
        return;
    }
    if (m_scheduler.workerLeft(at, name, born))
        reply(plain(200));
    else
        m_ending.emplace(name, reply);
}

// ---- answers of workers

void JobDriver::startAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run)
{
    if (!isOf(answer.tenure))
        return;
    // The token of a later incarnation has refused it, not that of a later leader.
    const bool isSuperseded = answer.outcome == jobs::OrderOutcome::Fenced
            && m_scheduler.isEarlierLife(answer.worker, answer.life);
    m_scheduler.startAnswered(at, answer.worker, run,
                              isSuperseded ? jobs::OrderOutcome::NotSent : answer.outcome);
}

void JobDriver::stopAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run)
{
    if (!isOf(answer.tenure))
        return;
    // A stop binds only the incarnation that has confirmed it.
    const bool isSuperseded = m_scheduler.isEarlierLife(answer.worker, answer.life);
    m_scheduler.stopAnswered(at, answer.worker, run,
                             isSuperseded ? jobs::OrderOutcome::NotSent : answer.outcome);
}

void JobDriver::renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                                const jobs::RenewalAnswer *lists)
{
    if (isOf(answer.tenure) && !m_scheduler.isEarlierLife(answer.worker, answer.life))
        m_scheduler.renewalAnswered(at, answer.worker, wasImmediate, answer.outcome, lists);
}

void JobDriver::permitsAnswered(Moment at, const PermitAnswer &answer)
{
    if (isOf(answer.tenure))
        m_scheduler.permitsAnswered(at, answer.step, answer.isAnswered ? &answer.good : nullptr,
                                    answer.validity);
}

} // namespace acaciafork::control
