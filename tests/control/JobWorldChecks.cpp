#include <algorithm>
#include <functional>
#include <iterator>

#include <doctest/doctest.h>
#include <spdlog/fmt/fmt.h>

#include "acaciafork/decisions/jobs/TaskState.h"
#include "tests/control/JobWorld.h"

// What must hold after every event.

namespace acaciafork::control {
namespace {

using namespace std::chrono_literals;

/// A task may start this long before it is due.
constexpr std::int64_t earlyUs = 250'000;
/// A draining worker may get a start that was on its way; later ones are a breach.
constexpr Duration drainBound = 2000ms;
/// A cancelled job's task may start for this long after.
constexpr Duration cancelBound = 3000ms;
/// A start is settled after this long, and a stop this long after its next try is due: the leader's
/// own time limits, and what a relay may add.
constexpr Duration startBound = 800ms;
constexpr Duration stopBound = 1000ms;
/// A trial waits no longer than this for its record, and one interval of the leader's checks more.
constexpr Duration recordBound = 2100ms;
constexpr Duration taskCheckInterval = 100ms;
/// A worker confirms a run, or that it was told to stop, within this time, or its lease is over.
/// The end of a stopped run is listed within the second.
constexpr Duration confirmBound = 10s;
constexpr Duration stoppingBound = 15s;
/// Longest delay of an order, longest lease, and what a slow clock adds: for as long may runs that
/// no list has shown be at the next incarnation of a worker, which has not answered.
constexpr Duration unseenBound = 18500ms;

bool isDoubleRun(const std::string &breach)
{
    return breach.find("two runs of ") != std::string::npos
            || breach.find(" after its end was taken note of") != std::string::npos;
}

} // namespace

std::string JobWorld::nameOf(const jobs::TaskKey &task)
{
    return std::to_string(task.job.value) + '.' + std::to_string(task.occurrence) + '.'
            + std::to_string(task.step) + '.' + std::to_string(task.task);
}

void checkNoBreach(const JobWorld &world)
{
    for (std::size_t it = 0; it < world.breaches().size() && it < 5; ++it)
        FAIL_CHECK(world.breaches()[it]);
}

std::vector<std::string> doubleRuns(const JobWorld &world)
{
    std::vector<std::string> found;
    std::ranges::copy_if(world.breaches(), std::back_inserter(found), isDoubleRun);
    return found;
}

std::vector<std::string> otherBreaches(const JobWorld &world)
{
    std::vector<std::string> found;
    std::ranges::copy_if(world.breaches(), std::back_inserter(found), std::not_fn(isDoubleRun));
    return found;
}

void JobWorld::breach(std::string what)
{
    m_breaches.push_back(std::to_string(toMicroseconds(m_now) / 1000) + " ms: " + std::move(what));
}

void JobWorld::checkOrders()
{
    for (const auto &[id, worker] : m_driver->scheduler().workers().all()) {
        for (const jobs::RunRef &it : worker->runs) {
            const jobs::Run &run = it.get();
            if (run.phase == jobs::RunPhase::Starting && m_now - run.startedAt > startBound)
                breach("start of " + nameOf(it.task.key()) + " not settled");
            if (run.phase == jobs::RunPhase::Recording && m_now - run.startedAt > recordBound)
                breach("trial of " + nameOf(it.task.key()) + " not recorded");
            if (run.stopInFlight && m_now - run.stopRetryAt > stopBound)
                breach("stop of " + nameOf(it.task.key()) + " not settled");
        }
    }
}

void JobWorld::checkTasks()
{
    if (m_now < m_nextTaskCheck || !m_driver->isActive())
        return;
    m_nextTaskCheck = m_now + taskCheckInterval;
    const jobs::JobScheduler &scheduler = m_driver->scheduler();
    if (m_driver->tenure() != m_checkedTenure) {
        m_checkedTenure = m_driver->tenure();
        m_tenureSince = m_now;
    }
    if (scheduler.isTakingOver() && m_now - m_tenureSince > unseenBound)
        breach("take-over not ended");
    for (const auto &[id, job] : scheduler.jobs().all()) {
        for (jobs::Step &step : job->steps()) {
            const std::vector<bool> listed = jobs::listedTasks(step);
            std::vector<std::size_t> counts(step.tasks.size());
            for (const std::uint32_t it : step.ready)
                ++counts.at(it);
            for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
                const jobs::TaskRef task { .step = &step, .task = it };
                checkTask(task, jobs::stateOf(task, scheduler.isTakingOver(), listed), counts[it]);
            }
        }
    }
}

void JobWorld::checkTask(const jobs::TaskRef &ref, jobs::TaskState state, std::size_t listed)
{
    const jobs::Task &task = ref.get();
    const jobs::Step &listing = *ref.step;
    for (std::size_t slot = 0; slot < jobs::maxRunsPerTask; ++slot)
        checkRun({ .task = ref, .slot = slot });
    const bool mayBeListed = task.isReady && !task.awaitsTrial && !task.done && !task.hasRun()
            && listing.mayStart() && listing.job->phase == jobs::JobPhase::Active;
    if (listed > (mayBeListed ? 1U : 0U))
        breach("task " + nameOf(ref.key()) + " listed as ready beside another state");
    if (task.done && !task.hasRun() && task.ownRecord != nullptr)
        breach("record of " + nameOf(ref.key()) + " kept although it is done");
    if (listing.job->phase == jobs::JobPhase::Active && state == jobs::TaskState::Astray)
        breach("task " + nameOf(ref.key()) + " astray");
}

void JobWorld::checkRun(const jobs::RunRef &ref)
{
    if (!ref.exists())
        return;
    const jobs::Run &run = ref.get();
    const jobs::Worker *worker = m_driver->scheduler().workers().find(run.worker);
    if (worker == nullptr || std::ranges::find(worker->runs, ref) == worker->runs.end())
        breach("run of " + nameOf(ref.task.key()) + " on no worker");
    const bool isUnseen = worker != nullptr && !worker->isKnown && !run.listedBy;
    // Its worker may be ordered to hold leases until an order is found to be unanswered.
    const Duration longest = isUnseen ? unseenBound + stopBound : confirmBound;
    if (run.phase == jobs::RunPhase::Running && m_now - run.confirmedAt > longest)
        breach("run of " + nameOf(ref.task.key()) + " not confirmed");
    if (run.phase != jobs::RunPhase::Stopping)
        return;
    const Duration stopping = m_now - run.stoppingSince;
    if (stopping > (run.stopConfirmed ? std::max(longest, stoppingBound) : longest))
        breach("stop of " + nameOf(ref.task.key())
               + (run.stopConfirmed ? " not over" : " not confirmed"));
}

void JobWorld::checkMemory()
{
    if (!m_driver->isActive())
        return;
    const jobs::JobTable &table = m_driver->scheduler().jobs();
    const jobs::JobMemory &memory = table.memory();
    if (memory.budgeted() <= memory.budget())
        return;
    std::size_t open = 0;
    for (const auto &[id, job] : table.all())
        open += job->open.size();
    if (open > 1)
        breach(fmt::format("{} bytes of jobs with a budget of {}", memory.budgeted(),
                           memory.budget()));
}

void JobWorld::checkStart(const FakeWorker &worker, const jobs::StartRun &command)
{
    const jobs::TaskKey &task = command.run.task;
    const wire::JobSpec &spec = m_specs.at(task.job.value);
    const wire::JobStep &taskStep = spec.steps(static_cast<int>(task.step));
    for (const auto &it : m_workers) {
        if (it->isUp && it->running.contains(task) && !taskStep.speculative())
            breach("two runs of " + nameOf(task) + " on " + it->name + " and " + worker.name);
    }
    if (m_doneNoted.contains(task) && !taskStep.speculative())
        breach("start of " + nameOf(task) + " after its end was taken note of");
    for (const std::uint32_t before : taskStep.after()) {
        for (std::uint32_t it = 0; it < spec.steps(static_cast<int>(before)).count(); ++it) {
            const jobs::TaskKey key {
                .job = task.job, .occurrence = task.occurrence, .step = before, .task = it
            };
            if (!m_done.contains(key))
                breach("start of " + nameOf(task) + " before " + nameOf(key));
        }
    }
    checkStep(worker, task, spec);
    if (taskStep.gang()) {
        jobs::TaskKey gang = task;
        gang.task = 0;
        const auto [it, isFirst] =
                m_gangCheckpoints.try_emplace({ gang, command.run.run.value }, command.checkpoint);
        if (!isFirst && it->second != command.checkpoint)
            breach("members of " + nameOf(gang) + " go on from different checkpoints");
    }
    const auto failures = m_failuresNoted.find(task);
    if (failures != m_failuresNoted.end()
        && failures->second.size() >= m_attempts.at(task.job.value))
        breach("start of " + nameOf(task) + " beyond its attempts");
    if (crashesUnder(task) >= 3 && ++m_startsAfterCrashes[task] >= 3)
        breach("start of " + nameOf(task) + " three times more after three crashes");
    const auto cancelled = m_cancelledAt.find(task.job.value);
    if (cancelled != m_cancelledAt.end() && m_now - cancelled->second > cancelBound)
        breach("start of " + nameOf(task) + " after its job was cancelled");
    if (worker.draining && worker.drainAckedAt != Timestamp::max()
        && m_now - worker.drainAckedAt > drainBound)
        breach("start of " + nameOf(task) + " on draining " + worker.name);
}

void JobWorld::checkStep(const FakeWorker &worker, const jobs::TaskKey &task,
                         const wire::JobSpec &spec)
{
    const wire::JobStep &taskStep = spec.steps(static_cast<int>(task.step));
    if (!taskStep.label().empty()
        && std::ranges::find(worker.labels, taskStep.label()) == worker.labels.end())
        breach("start of " + nameOf(task) + " on " + worker.name + " without its label");
    const auto sameStep = [&](const auto &it) {
        return it.first.job == task.job && it.first.occurrence == task.occurrence
                && it.first.step == task.step && it.first.task != task.task;
    };
    if (taskStep.most_per_worker() > 0
        && std::ranges::count_if(worker.running, sameStep) >= taskStep.most_per_worker())
        breach("start of " + nameOf(task) + " beside too many of its step");
    // The order may be carried out under a leader whose clock is behind that of the one before.
    if (m_wallUs + m_options.clockSkew.count() < dueUs(task) - earlyUs)
        breach("start of " + nameOf(task) + " before its time");
}

std::int64_t JobWorld::dueUs(const jobs::TaskKey &task) const
{
    const wire::JobSpec &spec = m_specs.at(task.job.value);
    if (!spec.has_schedule())
        return 0;
    return (spec.schedule().first_ms() + spec.schedule().interval_ms() * task.occurrence) * 1000;
}

void JobWorld::checkOrdered(const jobs::TaskKey &task)
{
    if (moment().wallMicroseconds < dueUs(task) - earlyUs)
        breach("order of " + nameOf(task) + " before its time");
}

} // namespace acaciafork::control
