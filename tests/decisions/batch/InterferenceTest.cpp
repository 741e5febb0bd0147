#include <doctest/doctest.h>

#include <cmath>

#include "acaciafork/decisions/batch/InterferenceModel.h"
#include "acaciafork/decisions/batch/MoveProjection.h"
#include "acaciafork/decisions/batch/QuantileSketch.h"
#include "tests/decisions/batch/Scenario.h"

using namespace acaciafork;
using namespace acaciafork::batch;
using namespace acaciafork::batch::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t quietKind = 0;
constexpr std::uint32_t noisyKind = 1;
constexpr std::uint32_t serviceKind = 2;

Session::Options measuredUsage(std::int64_t noisePermille)
{
    Session::Options options;
    options.usageEvery = 1;
    options.usageNoisePermille = noisePermille;
    return options;
}

/// One worker with a replica and five jobs, one of them of the kind given.
void addCrowdedWorker(Session *session, std::uint32_t kind)
{
    session->world.disturbancePermille = { { 0, 0, 0 }, { 0, 0, 0 }, { 0, 400, 0 } };
    addRack(session, "r1", "old", "a", 1);
    session->run(2s);
    putService(session, "loopdraw", 1, jobSize, serviceKind);
    session->run(30s);
    for (int i = 0; i < 4; ++i)
        submitJob(session,
                  { .task = "quiet" + std::to_string(i),
                    .family = "quiet",
                    .work = 2h,
                    .kind = quietKind });
    session->run(1min);
    submitJob(session, { .task = "other", .family = "other", .work = 2h, .kind = kind });
}

/// Throttle that the worker applies to a task, in thousandths.
std::int32_t throttleOf(const Session &session, const std::string &task)
{
    for (const FakeWorker::Held &it : session.workers[0]->held()) {
        if (it.runs() && it.report.task.value == task)
            return it.throttlePermille;
    }
    return 0;
}

} // namespace

TEST_CASE("the pair that disturbs is found among others that ran beside it")
{
    InterferenceModel model(InterferenceSettings {});
    RandomGenerator random(5);
    const auto draw = [&] { return static_cast<double>(random() >> 11U) * 0x1.0p-53; };
    for (int i = 0; i < 400; ++i) {
        const auto noisy = static_cast<float>(random() % 2);
        const auto quiet = static_cast<float>(random() % 4);
        const std::array coRunners { CoRunner { .family = 1, .count = noisy },
                                     CoRunner { .family = 2, .count = quiet } };
        model.observe(0, coRunners, 1, 0.3 * noisy + 0.01 * quiet + 0.4 * (draw() - 0.5));
    }
    CHECK(std::abs(model.pair(0, 1, 1).mean - 0.3) < 0.05);
    CHECK(std::abs(model.pair(0, 2, 1).mean - 0.01) < 0.03);
    CHECK(model.pair(0, 1, 1).variance < model.pair(0, 1, 0).variance);
}

TEST_CASE("the job that disturbs a service is throttled, not its quiet neighbours")
{
    Session session(measuredUsage(100));
    addCrowdedWorker(&session, noisyKind);
    session.run(3min);
    for (int i = 0; i < 4; ++i)
        CHECK(throttleOf(session, "quiet" + std::to_string(i)) == 1000);
    CHECK(throttleOf(session, "other") < 1000);
    for (const FakeWorker::Held &it : session.workers[0]->held()) {
        if (it.runs() && it.truth->service)
            CHECK(session.workers[0]->slowdownPermille(it) <= 1250);
    }
}

TEST_CASE("waves of noise in the measurements start no storm of evictions")
{
    Session session(measuredUsage(600));
    addCrowdedWorker(&session, quietKind);
    session.run(1h);
    CHECK(session.scheduler().counters().pressureEvictions <= 2);
    CHECK(session.state.task({ "other" })->leased);
}

TEST_CASE("quantiles follow what was seen, and what is seen of late")
{
    QuantileSketch sketch;
    for (int i = 1; i <= 100; ++i)
        sketch.add(i / 100.0);
    CHECK(std::abs(sketch.quantile(0.5) - 0.5) < 0.05);
    CHECK(std::abs(sketch.quantile(0.9) - 0.9) < 0.09);
    for (int i = 0; i < 4000; ++i)
        sketch.add(4);
    CHECK(std::abs(sketch.quantile(0.5) - 4) < 0.4);
}

TEST_CASE("a projection narrows as racks are emptied")
{
    MoveProjection projection;
    const Timestamp now {};
    const ProjectedFinish before = projection.project(now, 6, 2, {});
    for (int i = 0; i < 20; ++i)
        projection.addRack(std::chrono::seconds(100 + i));
    const ProjectedFinish after = projection.project(now, 6, 2, {});
    CHECK(after.late - after.early < before.late - before.early);
    CHECK(after.expected - now < 8min);
    CHECK(after.expected - now > 5min);
}
