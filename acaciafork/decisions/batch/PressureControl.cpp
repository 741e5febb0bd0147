#include "acaciafork/decisions/batch/PressureControl.h"

#include <cmath>

namespace acaciafork::batch {

namespace {

constexpr double permilleScale = 1000;
/// The throttle goes down to this part before the task is moved away.
constexpr std::int16_t minThrottlePermille = 250;
constexpr std::int16_t throttleFactor = 2;

} // namespace

PressureControl::PressureControl(Model *model, TaskLifecycle *lifecycle)
    : m_model(model)
    , m_lifecycle(lifecycle)
    , m_evictionTokens(static_cast<double>(model->settings.pressure.evictionBurst))
{ }

void PressureControl::onUsage(Index index, const UsageReport &report)
{
    const PressureSettings &settings = m_model->settings.pressure;
    Worker &worker = m_model->fleet.worker(index);
    double measured = 0;
    if (!worstPressure(report, &measured))
        return;
    updatePressure(&worker, measured);

    // Measurements are late: after a step, what arrives still tells of the time before it.
    if (m_model->now - worker.lastPressureStepAt < settings.stepInterval)
        return;
    if (worker.highPressureReports >= settings.reportsToAct)
        throttleOrEvict(index);
    else if (worker.throttledTasks > 0 && worker.lowPressureReports >= settings.reportsToRelease)
        relaxThrottle(index);
}

bool PressureControl::worstPressure(const UsageReport &report, double *worst)
{
    bool measured = false;
    for (const TaskUsage &it : report.tasks) {
        if (it.latencyPermille <= 0)
            continue;
        const double pressure = (it.latencyPermille - permilleScale) / permilleScale;
        *worst = measured ? std::max(*worst, pressure) : pressure;
        measured = true;
    }
    return measured;
}

void PressureControl::updatePressure(Worker *worker, double measured) const
{
    constexpr float weight = 0.25F;
    const float deviation = static_cast<float>(measured) - worker->pressure;
    worker->pressure += weight * deviation;
    worker->pressureVariance += weight * (deviation * deviation - worker->pressureVariance);

    // What counts is pressure beyond the noise that the smoothed value still has.
    constexpr double smoothing = weight / (2 - weight);
    constexpr double deviations = 2;
    const double noise = deviations * std::sqrt(worker->pressureVariance * smoothing);
    const PressureSettings &settings = m_model->settings.pressure;
    const double smoothed = worker->pressure;
    const bool pressed =
            (smoothed - noise) * permilleScale > static_cast<double>(settings.upperPermille);
    const bool calm = smoothed * permilleScale < static_cast<double>(settings.lowerPermille);
    constexpr std::uint16_t maxReports = 1000;
    worker->highPressureReports =
            pressed ? std::min<std::uint16_t>(worker->highPressureReports + 1, maxReports) : 0;
    worker->lowPressureReports =
            calm ? std::min<std::uint16_t>(worker->lowPressureReports + 1, maxReports) : 0;
}

Index PressureControl::mostInterferingJob(Index index) const
{
    const Worker &worker = m_model->fleet.worker(index);
    const Index level =
            InterferenceModel::loadLevel(worker.granted.millicores, worker.room.millicores);
    Index worst = noIndex;
    double worstSlowdown = 0;
    for (const Index job : worker.tasks) {
        const Task &task = m_model->tasks[job];
        if (task.isService() || task.phase != TaskPhase::Running || task.intent != TaskIntent::Run)
            continue;
        double slowdown = 0;
        for (const Index victim : worker.tasks) {
            if (m_model->tasks[victim].isService())
                slowdown += m_model->interference.expected(m_model->tasks[victim].family,
                                                           task.family, level);
        }
        slowdown *= task.throttlePermille / permilleScale;
        if (slowdown > worstSlowdown) {
            worst = job;
            worstSlowdown = slowdown;
        }
    }
    return worst;
}

void PressureControl::throttleOrEvict(Index index)
{
    const Index job = mostInterferingJob(index);
    if (job == noIndex)
        return;
    Worker &worker = m_model->fleet.worker(index);
    const Task &task = m_model->tasks[job];
    if (task.throttlePermille > minThrottlePermille)
        throttle(job, static_cast<std::int16_t>(task.throttlePermille / throttleFactor));
    else if (takeEvictionToken())
        m_lifecycle->evict(job, m_model->settings.lease.checkpointTimeout);
    worker.lastPressureStepAt = m_model->now;
    worker.highPressureReports = 0;
}

void PressureControl::relaxThrottle(Index index)
{
    Worker &worker = m_model->fleet.worker(index);
    for (const Index job : worker.tasks) {
        const Task &task = m_model->tasks[job];
        if (task.throttlePermille == unthrottledPermille)
            continue;
        throttle(job, static_cast<std::int16_t>(task.throttlePermille * throttleFactor));
        break;
    }
    worker.lastPressureStepAt = m_model->now;
    worker.lowPressureReports = 0;
}

void PressureControl::throttle(Index job, std::int16_t permille)
{
    Task &task = m_model->tasks[job];
    Worker &worker = m_model->fleet.worker(task.worker);
    const bool wasThrottled = task.throttlePermille < unthrottledPermille;
    const bool isThrottled = permille < unthrottledPermille;
    worker.throttledTasks += (isThrottled ? 1 : 0) - (wasThrottled ? 1 : 0);
    task.throttlePermille = permille;
    ++m_model->counters.throttles;
    m_model->outbox.call(ThrottleTask { .worker = m_model->fleet.workerName(task.worker),
                                        .task = task.name,
                                        .epoch = task.epoch,
                                        .permille = permille });
}

bool PressureControl::takeEvictionToken()
{
    const PressureSettings &settings = m_model->settings.pressure;
    const auto elapsed = static_cast<double>((m_model->now - m_refilledAt).count());
    m_refilledAt = m_model->now;
    m_evictionTokens = std::min(
            static_cast<double>(settings.evictionBurst),
            m_evictionTokens + elapsed / static_cast<double>(settings.evictionInterval.count()));
    if (m_evictionTokens < 1)
        return false;
    m_evictionTokens -= 1;
    ++m_model->counters.pressureEvictions;
    return true;
}

} // namespace acaciafork::batch
