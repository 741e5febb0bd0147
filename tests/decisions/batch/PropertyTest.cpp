#include <doctest/doctest.h>

#include "tests/decisions/batch/Scenario.h"

using namespace acaciafork;
using namespace acaciafork::batch;
using namespace acaciafork::batch::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workerCount = 8;
constexpr int jobCount = 60;

/// What one storm of faults showed.
struct FaultRunOutcome
{
    Audit audit;
    std::uint64_t ended = 0;
    std::uint64_t remaining = 0;
};

/// What differs between storms.
struct FaultRunOptions
{
    std::function<void(std::vector<Command> *)> tamper;
    /// Workers run on after their leases.
    bool ignoresExpiry = false;
    /// Workers are cut off and restarted.
    bool workersLost = true;
};

/// Runs jobs under lost, late and repeated messages, partitions, restarts and changes of leader,
/// drawn from the seed; then lets the faults end and the work finish.
FaultRunOutcome runWithFaults(std::uint64_t seed, const FaultRunOptions &faultOptions)
{
    Session::Options options;
    options.seed = seed;
    options.network = {
        .lossPermille = 100, .duplicatePermille = 100, .leastDelay = 1ms, .mostDelay = 3s
    };
    Session session(options);
    session.tamper = faultOptions.tamper;
    RandomGenerator random(seed);
    const auto draw = [&](std::uint64_t n) { return random() % n; };

    // Clocks run up to one percent apart.
    for (std::size_t i = 0; i < workerCount; ++i) {
        const std::string rack = i < workerCount / 2 ? "r1" : "r2";
        const std::int64_t clock = 990 + static_cast<std::int64_t>(draw(21));
        session.addWorker({ .identity = { .worker = { "w" + std::to_string(i) },
                                          .rack = { rack },
                                          .building = { "old" },
                                          .zone = { rack },
                                          .room = workerRoom },
                            .clockPermille = clock,
                            .ignoresExpiry = faultOptions.ignoresExpiry });
    }
    session.run(5s);
    for (int i = 0; i < jobCount; ++i)
        submitJob(&session,
                  { .task = "job" + std::to_string(i),
                    .work = std::chrono::seconds(60 + draw(600)),
                    .checkpointTime = std::chrono::seconds(1 + draw(20)) });

    for (int round = 0; round < 60; ++round) {
        session.run(std::chrono::milliseconds(1000 + draw(20'000)));
        const std::size_t worker = draw(workerCount);
        const std::string job = "job" + std::to_string(draw(jobCount));
        const RackName rack { draw(2) == 0 ? "r1" : "r2" };
        switch (draw(faultOptions.workersLost ? 8 : 3)) {
        case 0:
            session.changeLeader(std::chrono::milliseconds(draw(5000)));
            break;
        case 1:
            session.cancel({ job });
            break;
        case 2:
            session.putRack({ .rack = rack,
                              .building = { "old" },
                              .zone = { rack.value },
                              .state = draw(2) == 0 ? RackState::Draining : RackState::Active });
            break;
        case 3:
            session.restartWorker(worker);
            break;
        default:
            session.partition(worker, session.now() + std::chrono::seconds(draw(90)));
            break;
        }
    }

    // The faults end; everything is to come to its end.
    for (const char *rack : { "r1", "r2" })
        session.putRack({ .rack = { rack }, .building = { "old" }, .zone = { rack } });
    session.run(60min);
    return { .audit = session.world.audit,
             .ended = session.state.finished + session.state.cancelled,
             .remaining = session.state.taskCount() };
}

} // namespace

TEST_CASE("no storm of faults runs a job in two places, twice from one lease, or over room")
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        CAPTURE(seed);
        const FaultRunOutcome outcome = runWithFaults(seed, {});
        CHECK(outcome.audit.runsInTwoPlaces == 0);
        CHECK(outcome.audit.repeatedEpochs == 0);
        CHECK(outcome.audit.strangeCheckpoints == 0);
        CHECK(outcome.audit.runsPastOutcome == 0);
        CHECK(outcome.audit.overRoom == 0);
        CHECK(outcome.remaining == 0);
        CHECK(outcome.ended == jobCount);
    }
}

TEST_CASE("a finished job never starts again when no worker is lost with the news")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const FaultRunOutcome outcome = runWithFaults(seed, { .workersLost = false });
        CHECK(outcome.audit.startsAfterFinish == 0);
        CHECK(outcome.audit.violations() == 0);
        CHECK(outcome.ended == jobCount);
    }
}

TEST_CASE("the storm catches workers that run on after their lease")
{
    std::uint64_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        violations += runWithFaults(seed, { .ignoresExpiry = true }).audit.runsInTwoPlaces;
    CHECK(violations > 0);
}

TEST_CASE("the storm catches a scheduler that grants leases longer than it waits for")
{
    const auto extendLeases = [](std::vector<Command> *commands) {
        for (Command &it : *commands) {
            if (auto *renewal = std::get_if<RenewLease>(&it))
                renewal->basis.leaseLength *= 3;
        }
    };
    std::uint64_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        violations += runWithFaults(seed, { .tamper = extendLeases }).audit.runsInTwoPlaces;
    CHECK(violations > 0);
}

TEST_CASE("the storm catches a scheduler that starts before the lease is committed")
{
    // Each proposed lease is followed by a start at once, as a hasty scheduler would send it.
    const auto startUncommitted = [](std::vector<Command> *commands) {
        const std::vector<Command> given = *commands;
        for (const Command &it : given) {
            const auto *proposal = std::get_if<Propose>(&it);
            const auto *lease = proposal ? std::get_if<LeaseTask>(&proposal->change) : nullptr;
            if (lease == nullptr)
                continue;
            for (std::uint64_t seq = 1; seq <= 60; ++seq)
                commands->push_back(StartTask {
                        .worker = lease->worker,
                        .task = lease->task,
                        .epoch = lease->epoch,
                        .checkpoint = lease->checkpoint,
                        .granted = lease->granted,
                        .basis = { .incarnation = { 1 }, .seq = seq, .leaseLength = 5min } });
        }
    };
    std::uint64_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        violations += runWithFaults(seed, { .tamper = startUncommitted }).audit.violations();
    CHECK(violations > 0);
}
