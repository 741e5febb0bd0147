#include "acaciafork/decisions/batch/UsageReports.h"

namespace acaciafork::batch {

namespace {

constexpr std::int32_t permilleScale = 1000;

} // namespace

UsageReports::UsageReports(Model *model)
    : m_model(model)
{ }

Index UsageReports::onReport(const UsageReport &report)
{
    const Index index = m_model->fleet.findWorker(report.worker);
    if (index == noIndex)
        return noIndex;
    Worker &worker = m_model->fleet.worker(index);
    if (report.incarnation != worker.incarnation || isDuplicate(&worker, report.seq)) {
        ++m_model->counters.staleUsageReports;
        return noIndex;
    }
    learnFromReport(index, report);
    return index;
}

bool UsageReports::isDuplicate(Worker *worker, std::uint64_t seq)
{
    // Accounts may cross, so a window of numbers is kept; what is older than all of it is too old.
    constexpr std::size_t window = 16;
    auto &seen = worker->recentUsageSeqs;
    if (std::find(seen.begin(), seen.end(), seq) != seen.end())
        return true;
    if (seen.size() < window) {
        seen.push_back(seq);
        return false;
    }
    const auto oldest = std::min_element(seen.begin(), seen.end());
    if (seq < *oldest)
        return true;
    *oldest = seq;
    return false;
}

void UsageReports::addCoRunner(Index family)
{
    for (CoRunner &it : m_coRunners) {
        if (it.family == family) {
            ++it.count;
            return;
        }
    }
    m_coRunners.push_back({ .family = family, .count = 1 });
}

void UsageReports::collectCoRunners(const Worker &worker, std::uint64_t seq)
{
    m_coRunners.clear();
    for (const Index index : worker.tasks) {
        const Task &task = m_model->tasks[index];
        const bool ran = task.firstSeq != 0 && task.firstSeq <= seq
                && task.incarnation == worker.incarnation;
        if (ran)
            addCoRunner(task.family);
    }
    for (const PastRun &it : worker.pastRuns) {
        if (it.firstSeq <= seq && seq <= it.lastSeq)
            addCoRunner(it.family);
    }
}

void UsageReports::learnFromReport(Index workerIndex, const UsageReport &report)
{
    const Worker &worker = m_model->fleet.worker(workerIndex);
    collectCoRunners(worker, report.seq);
    std::int64_t used = 0;
    for (const TaskUsage &it : report.tasks)
        used += it.used.millicores;
    const Index level = InterferenceModel::loadLevel(used, worker.room.millicores);
    for (const TaskUsage &it : report.tasks) {
        const Index index = m_model->tasks.find(it.task);
        if (index == noIndex)
            continue;

        // The news may be older than the end of the task's lease there.
        const bool isCurrentLease = m_model->tasks[index].worker == workerIndex
                && m_model->tasks[index].epoch == it.epoch;
        if (!isCurrentLease)
            continue;
        Task &task = m_model->tasks[index];
        task.peak = componentwiseMax(task.peak, it.used);
        const std::int32_t permille = task.isService() && it.latencyPermille > 0
                ? it.latencyPermille
                : it.slowdownPermille;
        learnSlowdown(task, level, static_cast<double>(permille - permilleScale) / permilleScale);
    }
}

void UsageReports::learnSlowdown(const Task &victim, Index level, double slowdown)
{
    // A throttled neighbour disturbs less than it would, so nothing is learned beside it.
    if (m_model->fleet.worker(victim.worker).throttledTasks > 0)
        return;
    m_otherCoRunners.clear();
    for (CoRunner it : m_coRunners) {
        it.count -= it.family == victim.family ? 1 : 0;
        if (it.count > 0)
            m_otherCoRunners.push_back(it);
    }
    m_model->interference.observe(victim.family, m_otherCoRunners, level, slowdown);
}

} // namespace acaciafork::batch
