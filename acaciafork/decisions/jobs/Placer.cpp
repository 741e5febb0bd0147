#include "acaciafork/decisions/jobs/Placer.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

/// Scores are shares of a worker's processors; these outweigh any of them.
constexpr double wrongRackPenalty = 4;
constexpr double failedHerePenalty = 16;
constexpr double servesHerePenalty = 2;
/// Share of tasks that are not slowed down, in percent.
constexpr std::int64_t wholeShare = 100;

bool hasLabel(const WorkerLife &life, const std::string &label)
{
    return label.empty() || std::ranges::find(life.labels, label) != life.labels.end();
}

bool servesSomebody(const Worker &worker)
{
    return std::ranges::any_of(worker.runs, [](const RunRef &it) {
        return it.task.step->spec->tailTarget > Duration {};
    });
}

bool hasFilling(const Worker &worker)
{
    return worker.fillMillicores > 0;
}

} // namespace

bool Placer::isUsable(Timestamp now, const Worker &worker) const
{
    return worker.isRecorded && worker.isKnown && !worker.draining && !worker.isGone
            && worker.lease.isKnown() && worker.unansweredHolds == 0 && now >= worker.avoidUntil
            && now - worker.heardAt < m_settings.silence;
}

bool Placer::couldEverFit(const WorkerTable &workers, const std::string &pool, const StepSpec &step)
{
    return std::ranges::any_of(workers.all(), [&](const auto &it) {
        const WorkerLife &life = it.second->life;
        return life.pool == pool && hasLabel(life, step.label)
                && step.reserved().fitsIn(life.capacity);
    });
}

bool Placer::fits(const Worker &worker, const Step &step) const
{
    const StepSpec &spec = *step.spec;
    if (worker.life.pool != step.job->pool || !hasLabel(worker.life, spec.label)
        || !spec.reserved().fitsIn(worker.room()))
        return false;
    // Tasks that fill share what is left; at least half of their share must be there.
    if (spec.fills
        && (worker.leftover() < spec.size.millicores / 2 || worker.fillPercent < wholeShare))
        return false;
    return spec.mostPerWorker == 0 || worker.runsOf(&step) < spec.mostPerWorker;
}

double Placer::score(const Worker &worker, const Step &step, const Task &task) const
{
    const StepSpec &spec = *step.spec;
    const auto whole = static_cast<double>(std::max<std::int64_t>(worker.life.capacity.millicores, 1));
    const double left = static_cast<double>(worker.leftover()) / whole;
    double score = 0;
    if (spec.fills)
        score = left - (servesSomebody(worker) ? servesHerePenalty : 0);
    else if (spec.tailTarget > Duration {})
        score = -left - (hasFilling(worker) && !servesSomebody(worker) ? servesHerePenalty : 0);
    else
        score = left;
    if (!spec.dataRack.value.empty() && worker.life.rack != spec.dataRack)
        score -= wrongRackPenalty;
    if (task.failedAt == worker.id)
        score -= failedHerePenalty;
    if (worker.failuresInRow >= m_settings.suspectAfter)
        score -= failedHerePenalty;
    return score;
}

Worker *Placer::choose(Timestamp now, const WorkerTable &workers, const Step &step,
                       const Task &task, const RackName *rack) const
{
    Worker *best = nullptr;
    double bestScore = 0;
    for (const auto &[id, worker] : workers.all()) {
        if (!isUsable(now, *worker) || !fits(*worker, step))
            continue;
        if (rack != nullptr && worker->life.rack != *rack)
            continue;
        // A copy runs elsewhere than the first run.
        const bool runsHere = std::ranges::any_of(task.runs, [&](const Run &it) {
            return it.exists() && it.worker == worker->id;
        });
        if (runsHere)
            continue;
        const double value = score(*worker, step, task);
        if (best == nullptr || value > bestScore) {
            best = worker.get();
            bestScore = value;
        }
    }
    return best;
}

} // namespace acaciafork::jobs
