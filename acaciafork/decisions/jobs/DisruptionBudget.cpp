#include "acaciafork/decisions/jobs/DisruptionBudget.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

/// Steps without a stated budget are disrupted one task at a time.
constexpr std::size_t defaultBudget = 1;

bool isAtWork(Timestamp now, const Task &task)
{
    return std::ranges::any_of(task.record().runs, [&](const Run &it) {
        return it.phase == RunPhase::Running && it.progress >= wholePercent
                && now - it.startedAt >= DisruptionBudget::settlingTime
                && now - it.confirmedAt < DisruptionBudget::maxListAge;
    });
}

} // namespace

bool DisruptionBudget::allows(Timestamp now, const RunRef &run)
{
    const Step &step = *run.task.step;
    const StepSpec &spec = *step.spec;
    if (!spec.longRunning || run.get().phase != RunPhase::Running)
        return true;
    // The end of one member ends the whole gang.
    if (spec.gang)
        return spec.disruptionBudget == 0 || step.tasks.size() <= spec.disruptionBudget;
    const std::size_t budget = spec.disruptionBudget > 0 ? spec.disruptionBudget : defaultBudget;
    std::size_t unavailable = 0;
    for (std::uint32_t it = 0; it < step.tasks.size(); ++it)
        unavailable += it != run.task.task && !isAtWork(now, step.tasks[it]) ? 1 : 0;
    return unavailable < budget;
}

} // namespace acaciafork::jobs
