#include "acaciafork/decisions/jobs/BackfillDemand.h"

#include <numeric>

namespace acaciafork::jobs {
namespace {

/// Part of the former demand that remains after one update; ten seconds at ten updates a second.
constexpr double remainingPart = 0.99;

} // namespace

void BackfillDemand::update(const StepOrder &order, const WorkerTable &workers)
{
    for (double &it : m_millicores)
        it *= remainingPart;
    const auto add = [this](const Step &step, std::size_t tasks) {
        if (m_millicores.size() <= step.image)
            m_millicores.resize(step.image + 1);
        m_millicores[step.image] += static_cast<double>(step.spec->size.millicores)
                * static_cast<double>(tasks) * (1 - remainingPart);
    };
    for (const auto &[rank, step] : order.steps()) {
        if (step->spec->fills)
            add(*step, step->ready.size());
    }
    for (const auto &[id, worker] : workers.all()) {
        for (const RunRef &it : worker->runs) {
            if (it.task.step->spec->fills)
                add(*it.task.step, 1);
        }
    }
    ++m_version;
    m_images.clear();
    const double sum = std::accumulate(m_millicores.begin(), m_millicores.end(), 0.0);
    for (std::size_t it = 0; it < m_millicores.size(); ++it) {
        if (m_millicores[it] >= 1)
            m_images.push_back(
                    { .image = static_cast<batch::Index>(it), .share = m_millicores[it] / sum });
    }
}

void BackfillDemand::clear()
{
    ++m_version;
    m_millicores.clear();
    m_images.clear();
}

} // namespace acaciafork::jobs
