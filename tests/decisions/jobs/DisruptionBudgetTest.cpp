#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "acaciafork/decisions/jobs/DisruptionBudget.h"
#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

const QueueSpec queue { .name = "q", .pool = "pool", .maxAttempts = 3 };

StepSpec servingStep(std::uint32_t count, std::uint32_t budget)
{
    return { .count = count,
             .size = { 5000, 13'000, 0 },
             .longRunning = true,
             .image = "serve",
             .tailTarget = 50ms,
             .disruptionBudget = budget };
}

StepSpec fillingStep(std::uint32_t count, std::uint32_t budget)
{
    return { .count = count,
             .size = { 3500, 6400, 0 },
             .longRunning = true,
             .image = "fill",
             .fills = true,
             .disruptionBudget = budget };
}

/// Two workers that carry out all orders. Tasks are at work after a short startup.
struct BudgetFixture : SchedulerFixture
{
    explicit BudgetFixture(const JobSchedulerSettings &settings = {})
        : SchedulerFixture({}, settings)
    { }

    struct RunAtWorker
    {
        RunKey run;
        WorkerName worker;
        Timestamp startedAt;
        bool fills = false;
        std::int64_t percent = wholePercent;
    };

    void turn()
    {
        at.now += 20ms;
        at.wallMicroseconds += 20'000;
        if (at.now >= nextReport) {
            nextReport = at.now + 100ms;
            report();
        }
        for (auto it = renewals.begin(); it != renewals.end() && it->first <= at.now;) {
            answer(it->second);
            it = renewals.erase(it);
        }
        scheduler.tick(at);
        for (const Command &it : takeRecorded(&scheduler, at))
            carryOut(it);
    }

    void turns(Duration length)
    {
        for (const Timestamp end = at.now + length; at.now < end;)
            turn();
    }

    void report()
    {
        ++sequence;
        for (std::size_t it = 0; it < draining.size(); ++it) {
            WorkerLife life = lifeOf(it);
            life.draining = draining.at(it);
            scheduler.workerReported(at,
                                     { .life = life, .sequence = sequence, .clockMs = clockMs() });
        }
    }

    static WorkerLife lifeOf(std::size_t worker)
    {
        return { .name = { "w" + std::to_string(worker) },
                 .born = { 1 },
                 .pool = "pool",
                 .address = "w",
                 .capacity = { 32'000, 128'000, 0 } };
    }

    void carryOut(const Command &command)
    {
        if (const auto *start = std::get_if<StartRun>(&command)) {
            const Job *job = scheduler.jobs().find(start->run.task.job);
            running[start->run.task] = { .run = start->run,
                                         .worker = start->target.name,
                                         .startedAt = at.now,
                                         .fills = job->spec->steps.front().fills };
            scheduler.startAnswered(at, start->target.worker, start->run, OrderOutcome::Done);
        } else if (const auto *renewal = std::get_if<RenewWorkerLease>(&command)) {
            // A list covers half a second, as the readings of tail latencies do.
            renewals.emplace(at.now + std::min<Duration>(renewal->wait, 500ms), *renewal);
        } else if (const auto *pace = std::get_if<PaceRun>(&command)) {
            const auto it = running.find(pace->run.task);
            if (it != running.end() && it->second.run == pace->run)
                it->second.percent = pace->percent;
        } else if (const auto *stop = std::get_if<StopRun>(&command)) {
            stops[std::string(stop->reason)].push_back(stop->run);
            const auto it = running.find(stop->run.task);
            if (it != running.end() && it->second.run == stop->run) {
                std::vector<EndedRow> &rows = ended[it->second.worker];
                rows.push_back({ .number = rows.size() + 1,
                                 .run = it->second.run,
                                 .end = RunEnd::Stopped });
                running.erase(it);
            }
            scheduler.stopAnswered(at, stop->target.worker, stop->run, OrderOutcome::Done);
        } else if (const auto *workers = std::get_if<RecordWorkers>(&command)) {
            std::vector<WorkerName> names;
            for (const WorkerLife &it : workers->put)
                names.push_back(it.name);
            scheduler.workersRecorded(at, names);
        } else if (const auto *record = std::get_if<RecordEnds>(&command)) {
            scheduler.endsRecorded(at, record->batch);
        } else if (const auto *event = std::get_if<LogEvent>(&command)) {
            denials += event->event == "stop-denied" ? 1 : 0;
        }
    }

    void answer(const RenewWorkerLease &renewal)
    {
        RenewalAnswer lists { .sentAt = at.now, .born = { 1 }, .clockMs = clockMs() };
        bool isDisturbed = false;
        for (const auto &[task, it] : running)
            isDisturbed =
                    isDisturbed || (it.worker == renewal.target.name && it.fills && it.percent > 0);
        for (const auto &[task, it] : running) {
            if (it.worker != renewal.target.name)
                continue;
            const std::int64_t tailMs = isDisturbed || isOverloaded ? disturbedMs : 20;
            lists.running.push_back({ .run = it.run,
                                      .percent = isAtWork(task) ? 100 : 0,
                                      .load = it.fills ? 35 * it.percent : tailMs });
        }
        for (const EndedRow &it : ended[renewal.target.name]) {
            if (it.number > renewal.recordedEnds)
                lists.ended.push_back(it);
        }
        scheduler.renewalAnswered(at, renewal.target.worker, renewal.isImmediate,
                                  OrderOutcome::Done, &lists);
    }

    [[nodiscard]] bool isAtWork(const TaskKey &task) const
    {
        const auto it = running.find(task);
        return it != running.end() && at.now - it->second.startedAt >= 200ms;
    }

    /// Number of tasks of a job that are not at work.
    [[nodiscard]] std::uint32_t awayOf(std::uint64_t job, std::uint32_t count) const
    {
        std::uint32_t away = 0;
        for (std::uint32_t it = 0; it < count; ++it)
            away += isAtWork(task(job, it)) ? 0 : 1;
        return away;
    }

    [[nodiscard]] std::size_t runsOn(const std::string &worker) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                running, [&](const auto &it) { return it.second.worker.value == worker; }));
    }

    /// A new leader takes over; what the earlier one has ordered and not got answers for is lost.
    void changeLeader(std::span<const InterferenceEstimate> estimates = {})
    {
        std::vector<JobView> jobs;
        for (const auto &[id, job] : scheduler.jobs().all())
            jobs.push_back({ .id = id, .queue = queue, .spec = job->spec });
        std::array lives { lifeOf(0), lifeOf(1) };
        for (std::size_t it = 0; it < lives.size(); ++it)
            lives.at(it).draining = draining.at(it);
        renewals.clear();
        scheduler.begin(at, { ++tenure }, {}, jobs, lives, estimates);
    }

    static TaskKey task(std::uint64_t job, std::uint32_t number)
    {
        return { .job = { job }, .occurrence = 0, .step = 0, .task = number };
    }

    [[nodiscard]] RunRef run(const TaskKey &key) const
    {
        return { .task = scheduler.jobs().find(key), .slot = 0 };
    }

    std::array<bool, 2> draining {};
    Timestamp nextReport {};
    std::uint64_t tenure = 1;
    /// Tail latency of serving tasks beside backfill, and whether they have it without that.
    std::int64_t disturbedMs = 20;
    bool isOverloaded = false;
    std::map<TaskKey, RunAtWorker> running;
    std::multimap<Timestamp, RenewWorkerLease> renewals;
    std::map<WorkerName, std::vector<EndedRow>> ended;
    /// Runs that were told to stop, by reason.
    std::map<std::string, std::vector<RunKey>> stops;
    std::size_t denials = 0;
};

/// Four serving tasks on w0, and w1 free.
void fillFirstWorker(BudgetFixture *fixture, const StepSpec &step)
{
    fixture->draining = { false, true };
    fixture->turns(200ms);
    fixture->acceptJob(1, step);
    fixture->turns(3s);
    REQUIRE(fixture->runsOn("w0") == step.count);
    fixture->draining = { false, false };
    fixture->turns(200ms);
}

/// A serving task and two tasks of a backfill step that lasts on each worker.
void placeBackfill(BudgetFixture *fixture, std::uint32_t budget)
{
    StepSpec spread = servingStep(2, 1);
    spread.maxPerWorker = 1;
    fixture->acceptJob(1, spread);
    fixture->turns(1s);
    StepSpec filling = fillingStep(4, budget);
    filling.maxPerWorker = 2;
    fixture->acceptJob(2, filling);
    fixture->turns(3s);
    REQUIRE(fixture->awayOf(1, 2) == 0);
    REQUIRE(fixture->awayOf(2, 4) == 0);
}

/// The leader learns that the backfill tasks disturb the serving ones, and they begin to.
void beginToDisturb(BudgetFixture *fixture)
{
    const InterferenceEstimate estimate {
        .serving = "serve", .filling = "fill", .mean = 40, .variance = 0.01F
    };
    fixture->changeLeader(std::span(&estimate, 1));
    fixture->turns(DisruptionBudget::settlingTime + 300ms);
    fixture->disturbedMs = 200;
}

/// Most tasks of a job that are not at work at a time.
std::uint32_t mostAway(BudgetFixture *fixture, Duration length, std::uint64_t job)
{
    std::uint32_t most = 0;
    for (const Timestamp end = fixture->at.now + length; fixture->at.now < end;) {
        fixture->turn();
        most = std::max(most, fixture->awayOf(job, 4));
    }
    return most;
}

/// True when each backfill task that is at a worker has the lowest share there, or is paused.
bool isSlowed(const BudgetFixture &fixture)
{
    return std::ranges::all_of(fixture.running, [](const auto &it) {
        return !it.second.fills || it.second.percent <= BackfillThrottleSettings().minPercent;
    });
}

} // namespace

TEST_CASE("a drain does not stop more tasks of a long-running step than its budget allows")
{
    for (const std::uint32_t budget : { 1U, 2U }) {
        CAPTURE(budget);
        BudgetFixture fixture;
        fillFirstWorker(&fixture, servingStep(4, budget));
        fixture.draining[0] = true;
        CHECK(mostAway(&fixture, 14s, 1) == budget);
        CHECK(fixture.runsOn("w0") == 0);
        CHECK(fixture.runsOn("w1") == 4);
        CHECK(fixture.stops["worker-draining"].size() == 4);
    }
}

TEST_CASE("a drain holds up no task of a step without a stated budget")
{
    BudgetFixture fixture;
    fillFirstWorker(&fixture, servingStep(4, 0));
    fixture.draining[0] = true;
    fixture.turns(200ms);
    CHECK(fixture.stops["worker-draining"].size() == 4);
}

TEST_CASE("the tasks of a draining worker are moved although the leader changes")
{
    for (const std::uint32_t budget : { 0U, 1U }) {
        CAPTURE(budget);
        BudgetFixture fixture;
        fillFirstWorker(&fixture, servingStep(4, budget));
        fixture.draining[0] = true;
        fixture.changeLeader();
        fixture.turns(16s);
        CHECK(fixture.runsOn("w0") == 0);
        CHECK(fixture.runsOn("w1") == 4);
    }
}

TEST_CASE("a task of a step is not stopped by choice while another one starts after a change of "
          "leader")
{
    BudgetFixture fixture;
    StepSpec spread = servingStep(2, 1);
    spread.maxPerWorker = 1;
    fixture.acceptJob(1, spread);
    fixture.turns(3s);
    REQUIRE(fixture.awayOf(1, 2) == 0);
    // The earlier leader has stopped the task on w1, and does not tell.
    const auto isOnSecond = [](const auto &it) { return it.second.worker.value == "w1"; };
    const auto lost = std::ranges::find_if(fixture.running, isOnSecond);
    REQUIRE(lost != fixture.running.end());
    const TaskKey stopped = lost->first;
    const TaskKey other = BudgetFixture::task(1, 1 - stopped.task);
    fixture.running.erase(lost);
    fixture.changeLeader();
    bool wasStarted = false;
    for (Duration passed {}; passed < 12s && fixture.stops.empty(); passed += 20ms) {
        fixture.turn();
        // It drains as soon as the new leader knows its run.
        fixture.draining[0] = fixture.run(other).exists();
        wasStarted = wasStarted || fixture.isAtWork(stopped);
        if (!fixture.stops.empty())
            CHECK(wasStarted);
    }
    CHECK(fixture.stops["worker-draining"].size() == 1);
}

TEST_CASE("long-running backfill tasks that disturb are stopped within the budget of their step")
{
    for (const bool isCautious : { false, true }) {
        CAPTURE(isCautious);
        BudgetFixture fixture({ .cautiousBackfill = isCautious });
        placeBackfill(&fixture, 1);
        beginToDisturb(&fixture);
        CHECK(mostAway(&fixture, 12s, 2) == 1);
        CHECK(fixture.stops["disturbs"].size() >= 1);
    }
}

TEST_CASE("a backfill task that disturbs and must not be stopped is slowed down")
{
    for (const bool isCautious : { false, true }) {
        CAPTURE(isCautious);
        BudgetFixture fixture({ .cautiousBackfill = isCautious });
        placeBackfill(&fixture, 1);
        beginToDisturb(&fixture);
        fixture.turns(2500ms);
        CHECK(fixture.awayOf(2, 4) == 1);
        CHECK(fixture.denials >= 2);
        CHECK(isSlowed(fixture));
    }
}

TEST_CASE("paused long-running backfill tasks are moved within the budget of their step")
{
    BudgetFixture fixture;
    placeBackfill(&fixture, 2);
    // Whatever runs beside them.
    fixture.isOverloaded = true;
    fixture.disturbedMs = 55;
    CHECK(mostAway(&fixture, 15s, 2) == 2);
    CHECK_FALSE(fixture.stops["paused"].empty());
}

TEST_CASE("a task whose worker does not answer counts as unavailable")
{
    BudgetFixture fixture;
    StepSpec spread = servingStep(2, 1);
    spread.maxPerWorker = 1;
    fixture.acceptJob(1, spread);
    fixture.turns(3s);
    const RunRef first = fixture.run(BudgetFixture::task(1, 0));
    const RunRef second = fixture.run(BudgetFixture::task(1, 1));
    CHECK(DisruptionBudget::allows(fixture.at.now, first));
    second.get().confirmedAt = fixture.at.now - DisruptionBudget::maxListAge;
    CHECK_FALSE(DisruptionBudget::allows(fixture.at.now, first));
    CHECK(DisruptionBudget::allows(fixture.at.now, second));
}

TEST_CASE("a member of a gang that lasts is not stopped when the whole gang exceeds its budget")
{
    for (const std::uint32_t budget : { 1U, 2U }) {
        CAPTURE(budget);
        BudgetFixture fixture;
        StepSpec gang = servingStep(2, budget);
        gang.gang = true;
        fixture.acceptJob(1, gang);
        fixture.turns(3s);
        REQUIRE(fixture.awayOf(1, 2) == 0);
        CHECK(DisruptionBudget::allows(fixture.at.now, fixture.run(BudgetFixture::task(1, 0)))
              == (budget == 2));
    }
}
