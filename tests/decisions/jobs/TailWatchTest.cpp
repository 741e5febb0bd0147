#include <algorithm>
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "tests/decisions/jobs/SchedulerFixture.h"

using namespace acaciafork;
using namespace acaciafork::jobs;

namespace {

constexpr std::int64_t targetMs = 125;
const StepSpec serving { .count = 2,
                         .size = { 6400, 13'000, 0 },
                         .maxPerWorker = 1,
                         .longRunning = true,
                         .image = "serve",
                         .tailTarget = targetMs * 1ms };
const StepSpec filling { .count = 3, .size = { 3500, 6400, 0 }, .image = "fill", .fills = true };

const StepSpec plain { .count = 2, .size = { 500, 500, 0 }, .maxPerWorker = 1 };
constexpr JobId servingJob { 1 };
constexpr JobId plainJob { 4 };

/// Tail latency as a share of its target, on its own and as far as backfill tasks disturb it.
constexpr double undisturbed = 0.4;
constexpr double disturbed = 1.04;
/// Readings cover half a second and are taken twice as often.
constexpr Duration readingSpan = 500ms;
constexpr Duration readingInterval = 250ms;
constexpr Duration turn = 5ms;

/// Two workers with a serving task each, and backfill tasks that have been harmless beside them.
/// The workers answer renewals as asked.
class WatchedTails
{
public:
    /// @param[in] phase when readings are taken, from the beginning of their interval on
    explicit WatchedTails(Duration phase)
        : m_phase(phase)
    {
        m_fixture.acceptJob(1, serving);
        run(1s);
        m_fixture.acceptJob(2, filling);
        m_fixture.acceptJob(4, plain);
        run(7s);
        endRuns({ 2 });
        run(3s);
    }

    void run(Duration length)
    {
        const Timestamp end = now() + length;
        while (now() < end)
            step();
    }

    /// Starts backfill tasks that disturb the serving tasks beside them at once.
    /// @param[in] low number of the reading that is just below the target by an error of
    /// measurement, counted from the start on; -1 for none
    /// @param[in] endAfter when a plain task on each worker ends, so that it answers what is in
    /// flight
    /// @return longest time from a start to the order that pauses or stops the last one beside the
    /// same serving task; `longest` if there is none
    Duration timeToPause(Duration longest, int low, Duration endAfter)
    {
        const Timestamp plainEndsAt = now() + endAfter;
        m_low = low;
        m_disturbs = true;
        m_fixture.acceptJob(3, filling);
        const Timestamp end = now() + longest;
        while (now() < end) {
            step();
            if (now() == plainEndsAt)
                endRuns(plainJob);
            bool hasStarted = false;
            bool works = false;
            Timestamp first = Timestamp::max();
            for (const auto &[id, worker] : m_workers) {
                hasStarted = hasStarted || worker.overSince != Timestamp::max();
                works = works || hasWork(worker);
                first = std::min(first, worker.overSince);
            }
            if (hasStarted && !works)
                return now() - first;
        }
        return longest;
    }

    /// Number of renewals sent so far.
    [[nodiscard]] std::size_t renewals() const { return m_renewals; }

private:
    struct TestRun
    {
        RunKey key;
        bool fills = false;
        bool isPaused = false;
    };
    struct TestWorker
    {
        std::vector<TestRun> runs;
        std::vector<EndedRow> ended;
        std::uint64_t lastEnd = 0;
        /// When the first backfill task that disturbs has started.
        Timestamp overSince = Timestamp::max();
    };
    struct Pending
    {
        Timestamp answerAt;
        RenewWorkerLease renewal;
    };

    [[nodiscard]] Timestamp now() const { return m_fixture.at.now; }

    /// True while backfill tasks of the worker work.
    static bool hasWork(const TestWorker &worker)
    {
        return std::ranges::any_of(worker.runs,
                                   [](const TestRun &it) { return it.fills && !it.isPaused; });
    }

    [[nodiscard]] std::int64_t reading(const TestWorker &worker) const
    {
        const Duration sinceBegin = now() - m_fixture.beganAt + readingInterval - m_phase;
        const Timestamp takenAt = now() - sinceBegin % readingInterval;
        double over = 0;
        if (takenAt > worker.overSince) {
            const auto number = (takenAt - worker.overSince) / readingInterval;
            if (number == m_low)
                return targetMs * 98 / 100;
            const Duration covered = std::min<Duration>(takenAt - worker.overSince, readingSpan);
            over = static_cast<double>(covered.count())
                    / static_cast<double>(Duration(readingSpan).count());
        }
        return static_cast<std::int64_t>(targetMs
                                         * (undisturbed + over * (disturbed - undisturbed)));
    }

    static std::int64_t usedMillicores(const TestRun &run)
    {
        if (!run.fills)
            return plain.size.millicores;
        return run.isPaused ? 0 : filling.size.millicores;
    }

    void endRuns(JobId job)
    {
        for (auto &[id, worker] : m_workers) {
            for (const TestRun &it : worker.runs) {
                if (it.key.task.job == job)
                    worker.ended.push_back(
                            { .number = ++worker.lastEnd, .run = it.key, .end = RunEnd::Done });
            }
            std::erase_if(worker.runs, [job](const TestRun &it) { return it.key.task.job == job; });
            for (Pending &it : m_pending) {
                if (it.renewal.target.worker == id)
                    it.answerAt = now();
            }
        }
    }

    void answer(const RenewWorkerLease &renewal)
    {
        TestWorker &worker = m_workers[renewal.target.worker];
        RenewalAnswer lists { .sentAt = now(),
                              .born = renewal.target.born,
                              .clockMs = m_fixture.clockMs() };
        for (const TestRun &it : worker.runs)
            lists.running.push_back({ .run = it.key,
                                      .percent = it.fills ? 20 : 100,
                                      .load = it.key.task.job == servingJob ? reading(worker)
                                                                            : usedMillicores(it) });
        for (const EndedRow &it : worker.ended) {
            if (it.number > renewal.recordedEnds)
                lists.ended.push_back(it);
        }
        m_fixture.scheduler.renewalAnswered(m_fixture.at, renewal.target.worker,
                                            renewal.isImmediate, OrderOutcome::Done, &lists);
    }

    void start(const StartRun &command)
    {
        TestWorker &worker = m_workers[command.target.worker];
        worker.runs.push_back({ .key = command.run,
                                .fills = command.run.task.job != servingJob
                                        && command.run.task.job != plainJob });
        if (m_disturbs && worker.runs.back().fills)
            worker.overSince = std::min(worker.overSince, now());
        m_fixture.scheduler.startAnswered(m_fixture.at, command.target.worker, command.run,
                                          OrderOutcome::Done);
    }

    void carryOut(const Command &command)
    {
        if (const auto *started = std::get_if<StartRun>(&command)) {
            start(*started);
        } else if (const auto *renewal = std::get_if<RenewWorkerLease>(&command)) {
            ++m_renewals;
            m_pending.push_back({ .answerAt = now() + renewal->wait + turn, .renewal = *renewal });
        } else if (const auto *ends = std::get_if<RecordEnds>(&command)) {
            m_fixture.scheduler.endsRecorded(m_fixture.at, ends->batch);
        } else if (const auto *exposures = std::get_if<RecordExposures>(&command)) {
            m_fixture.scheduler.exposuresRecorded(m_fixture.at, exposures->batch);
        } else if (const auto *pace = std::get_if<PaceRun>(&command)) {
            for (TestRun &it : m_workers[pace->target.worker].runs) {
                if (it.key == pace->run)
                    it.isPaused = pace->percent == 0;
            }
        } else if (const auto *stop = std::get_if<StopRun>(&command)) {
            // What is told to stop counts as paused, and stays on the list here.
            for (TestRun &it : m_workers[stop->target.worker].runs)
                it.isPaused = it.isPaused || it.key == stop->run;
        }
    }

    void step()
    {
        m_fixture.advance(turn);
        if ((now() - m_fixture.beganAt) % Duration(1s) == Duration {})
            m_fixture.report();
        const std::vector<Pending> pending = std::move(m_pending);
        m_pending.clear();
        for (const Pending &it : pending) {
            if (it.answerAt <= now())
                answer(it.renewal);
            else
                m_pending.push_back(it);
        }
        for (const Command &it : m_fixture.scheduler.takeCommands(m_fixture.at))
            carryOut(it);
    }

    SchedulerFixture m_fixture;
    Duration m_phase;
    std::map<WorkerId, TestWorker> m_workers;
    std::vector<Pending> m_pending;
    std::size_t m_renewals = 0;
    bool m_disturbs = false;
    int m_low = -1;
};

} // namespace

TEST_CASE("backfill beside a serving task alone so far is paused in time, whatever was in flight")
{
    // Guards against harm for 4 s: the renewal in flight at the start waits for 1.5 s, since the
    // worker ran no backfill tasks when it was sent, and only its answer shows the disturbance.
    for (Duration phase {}; phase < readingInterval; phase += 60ms) {
        for (Duration delay {}; delay < 1500ms; delay += 95ms) {
            for (Duration endAfter = 500ms; endAfter < 4s; endAfter += 190ms) {
                CAPTURE(phase / 1ms);
                CAPTURE(delay / 1ms);
                CAPTURE(endAfter / 1ms);
                WatchedTails tails(phase);
                tails.run(delay);
                CHECK(tails.timeToPause(6s, -1, endAfter) / 1ms <= 3300);
            }
        }
    }
}

TEST_CASE("a reading just below the target does not put off the pause beside a serving task")
{
    // As above, with one reading that an error of measurement puts below the target.
    for (Duration delay {}; delay < 1500ms; delay += 190ms) {
        for (Duration endAfter = 1s; endAfter < 4s; endAfter += 430ms) {
            for (int low = 0; low < 14; ++low) {
                CAPTURE(delay / 1ms);
                CAPTURE(endAfter / 1ms);
                CAPTURE(low);
                WatchedTails tails(60ms);
                tails.run(delay);
                CHECK(tails.timeToPause(6s, low, endAfter) / 1ms <= 3500);
            }
        }
    }
}
