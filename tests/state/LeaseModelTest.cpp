#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

namespace {

/// Changes a command on its way into the state machine: a fault of the test, not of the product.
using Fault = std::function<void(const StateMachine &, wire::Command *)>;

void noFault(const StateMachine &, wire::Command *) { }

/// What a real fleet would see: which leases are running somewhere, kept apart from the state.
/// Workers report late, twice and crossed; the leader leases whatever the state lets it.
class Fleet
{
public:
    Fleet(std::uint64_t seed, Fault fault)
        : m_random(seed)
        , m_fault(std::move(fault))
    {
        m_driver.apply(team("warm", std::uint64_t(tasks) * 1000));
        for (int i = 0; i < tasks; ++i)
            m_driver.apply(job(taskId(i), "warm"));
    }

    /// Runs some steps and gives the first broken promise, or nothing.
    std::string run(int steps)
    {
        for (int i = 0; i < steps && m_violation.empty(); ++i)
            step();
        return m_violation;
    }

private:
    static constexpr int tasks = 6;

    static std::string taskId(int i) { return "warm/j" + std::to_string(i); }

    ApplyResult apply(wire::Command command)
    {
        m_fault(m_driver.machine, &command);
        return m_driver.apply(std::move(command));
    }

    void step()
    {
        const std::string id = taskId(static_cast<int>(m_random() % tasks));
        switch (m_random() % 6) {
        case 0:
        case 1:
            tryLease(id);
            break;
        case 2:
            endRunning(id);
            break;
        case 3:
        case 4:
            deliverReport();
            break;
        default:
            if (m_random() % 16 == 0)
                apply(cancel(id));
            break;
        }
    }

    /// The leader leases what it believes to be free, sometimes on an old view.
    void tryLease(const std::string &id)
    {
        const Task *task = m_driver.machine.tasks().find(id);
        const std::uint64_t epoch = task->epoch.value + (m_random() % 8 == 0 ? 0 : 1);
        if (apply(lease(id, "w" + std::to_string(m_random() % 3), epoch, task->checkpoint))
                    .outcome()
            != wire::OUTCOME_APPLIED)
            return;
        if (m_finished.contains(id))
            m_violation = id + " runs again after its end";
        if (m_running.contains(id))
            m_violation = id + " runs in two places";
        if (m_checkpoints[id] != task->checkpoint)
            m_violation = id + " resumes from a checkpoint that is not its last";
        m_running[id] = epoch;
    }

    /// The worker ends the lease for real; its report is on the way, maybe twice.
    void endRunning(const std::string &id)
    {
        const auto it = m_running.find(id);
        if (it == m_running.end())
            return;
        const std::uint64_t epoch = it->second;
        m_running.erase(it);
        wire::Command report;
        if (m_random() % 3 == 0) {
            report = finished(id, epoch);
            m_finished.insert(id);
        } else {
            m_checkpoints[id] = "c" + std::to_string(epoch);
            report = stopped(id, epoch, wire::STOP_REASON_EVICTED, m_checkpoints[id]);
        }
        for (std::uint64_t n = 1 + m_random() % 2; n > 0; --n)
            m_reports.push_back(report);
    }

    /// Any report on the way arrives next; one in four stays on the way, to come again much later.
    void deliverReport()
    {
        if (m_reports.empty())
            return;
        const auto it =
                m_reports.begin() + static_cast<std::ptrdiff_t>(m_random() % m_reports.size());
        const wire::Command report = *it;
        if (m_random() % 4 != 0)
            m_reports.erase(it);
        apply(report);
    }

    std::mt19937_64 m_random;
    Fault m_fault;
    Driver m_driver;
    std::map<std::string, std::uint64_t> m_running;
    std::map<std::string, std::string> m_checkpoints;
    std::set<std::string> m_finished;
    std::vector<wire::Command> m_reports;
    std::string m_violation;
};

/// First broken promise over many seeds, or nothing.
std::string firstViolation(const Fault &fault)
{
    constexpr std::uint64_t seeds = 200;
    constexpr int steps = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (std::string violation = Fleet(seed, fault).run(steps); !violation.empty())
            return "seed " + std::to_string(seed) + ": " + violation;
    }
    return {};
}

/// Callers that repeat requests under one key through several entries, and endpoints that count
/// what they run.
std::string firstDuplicateRun(const Fault &fault)
{
    constexpr std::uint64_t seeds = 200;
    constexpr int steps = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        Driver driver;
        std::map<std::string, int> runs;
        std::set<std::uint64_t> sent;
        std::vector<wire::Command> inFlight;
        std::uint64_t nextAttempt = 1;
        const auto apply = [&](wire::Command command) {
            fault(driver.machine, &command);
            return driver.apply(std::move(command));
        };
        for (int i = 0; i < steps; ++i) {
            const std::string key = "k" + std::to_string(random() % 4);
            if (random() % 2 == 0) {
                // A repeat through some entry, which sends only what is begun now, each attempt
                // once.
                const std::uint64_t attempt = nextAttempt++;
                const wire::Command begin = ledgerBegin(key, attempt);
                if (random() % 4 == 0)
                    inFlight.push_back(begin);
                if (apply(begin).outcome() != wire::OUTCOME_BEGUN_NOW
                    || !sent.insert(attempt).second)
                    continue;
                const bool ran = random() % 3 != 0;
                runs[key] += ran ? 1 : 0;
                const wire::LedgerOutcome outcome = !ran ? wire::LEDGER_OUTCOME_NOT_RUN
                        : random() % 2 == 0              ? wire::LEDGER_OUTCOME_ANSWERED
                                                         : wire::LEDGER_OUTCOME_UNKNOWN;
                for (std::uint64_t n = random() % 3; n > 0; --n)
                    inFlight.push_back(ledgerEnd(key, attempt, outcome));
            } else if (!inFlight.empty()) {
                const std::size_t which = random() % inFlight.size();
                apply(inFlight[which]);
                if (random() % 4 != 0)
                    inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(which));
            }
            const auto duplicate = std::find_if(runs.begin(), runs.end(),
                                                [](const auto &it) { return it.second > 1; });
            if (duplicate != runs.end())
                return "seed " + std::to_string(seed) + ": " + duplicate->first + " ran twice";
        }
    }
    return {};
}

} // namespace

TEST_CASE("no task runs in two places, runs after its end, or resumes from an old checkpoint")
{
    CHECK(firstViolation(noFault) == "");
}

TEST_CASE("a report that escapes the check of its epoch is caught")
{
    const auto forgeEpoch = [](const StateMachine &machine, wire::Command *command) {
        if (!command->has_task_stopped())
            return;
        wire::TaskStopped *report = command->mutable_task_stopped();
        report->set_epoch(machine.tasks().find(report->task())->epoch.value);
    };
    CHECK(firstViolation(forgeEpoch) != "");
}

TEST_CASE("a lost checkpoint is caught")
{
    const auto loseCheckpoint = [](const StateMachine &, wire::Command *command) {
        if (command->has_task_stopped())
            command->mutable_task_stopped()->clear_checkpoint();
    };
    CHECK(firstViolation(loseCheckpoint) != "");
}

TEST_CASE("a request marked non-idempotent runs at most once, whatever is repeated or crossed")
{
    CHECK(firstDuplicateRun(noFault) == "");
}

TEST_CASE("a close that escapes the check of its attempt is caught")
{
    const auto forgeAttempt = [](const StateMachine &machine, wire::Command *command) {
        if (!command->has_ledger_end())
            return;
        wire::LedgerClose *close = command->mutable_ledger_end()->mutable_closes(0);
        if (const LedgerEntry *entry = machine.ledger().find(close->service(), close->key());
            entry != nullptr)
            close->set_attempt(entry->attempt.value);
    };
    CHECK(firstDuplicateRun(forgeAttempt) != "");
}
