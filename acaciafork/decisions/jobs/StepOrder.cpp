#include "acaciafork/decisions/jobs/StepOrder.h"

namespace acaciafork::jobs {

StepOrder::Place StepOrder::placeOf(Timestamp now, const Step &step)
{
    const Job &job = *step.job;
    Place place { .band = 0,
                  .priority = job.priority,
                  .lasts = step.spec->longRunning,
                  .startBy = step.dueAt + job.objective - step.remainingPath,
                  .job = job.id,
                  .step = static_cast<std::uint32_t>(&step - job.steps.data()) };
    // A task that lasts earns from its start on and is never too late.
    if (step.spec->longRunning)
        return place;
    if (now > place.startBy) {
        const Timestamp worthless = step.dueAt + job.objective * lateFactor;
        place.band = now + step.remainingPath <= worthless ? 1 : 2;
    }
    return place;
}

void StepOrder::insert(Timestamp now, Step *step)
{
    if (step->isQueued)
        return;
    step->isQueued = true;
    const Place place = placeOf(now, *step);
    m_steps.emplace(place, step);
    m_places.emplace(step, place);
}

void StepOrder::erase(Step *step)
{
    if (!step->isQueued)
        return;
    step->isQueued = false;
    const auto it = m_places.find(step);
    ACACIAFORK_ASSERT(it != m_places.end());
    m_steps.erase(it->second);
    m_places.erase(it);
}

void StepOrder::clear()
{
    m_steps.clear();
    m_places.clear();
}

void StepOrder::refresh(Timestamp now)
{
    // Bands only grow, and a step that keeps its band keeps its place.
    for (auto it = m_steps.begin(); it != m_steps.end();) {
        Step *step = it->second;
        const Place place = placeOf(now, *step);
        if (place.band == it->first.band) {
            ++it;
            continue;
        }
        it = m_steps.erase(it);
        m_steps.emplace(place, step);
        m_places[step] = place;
    }
}

} // namespace acaciafork::jobs
