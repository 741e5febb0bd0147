#include "acaciafork/decisions/jobs/PlacementRound.h"

#include <algorithm>

namespace acaciafork::jobs {

void PlacementRound::Candidate::update()
{
    free = worker->freeCapacity();
    unusedMillicores = worker->unusedMillicores();
}

bool PlacementRound::Candidate::mayFit(const Size &reserved, const StepSpec &spec) const
{
    return reserved.fitsIn(free) && (!spec.fills || unusedMillicores >= spec.size.millicores / 2);
}

void PlacementRound::collect(Timestamp now, const WorkerTable &workers)
{
    for (auto &[name, candidates] : m_pools)
        candidates.clear();
    // Workers of one pool mostly follow each other.
    const std::string *pool = nullptr;
    std::vector<Candidate> *candidates = nullptr;
    for (const auto &[id, worker] : workers.all()) {
        if (!m_placer->isUsable(now, *worker))
            continue;
        if (pool == nullptr || *pool != worker->life.pool) {
            pool = &worker->life.pool;
            candidates = &m_pools[*pool];
        }
        candidates->push_back({ .worker = worker.get() });
        candidates->back().update();
    }
    m_isCollected = true;
}

void PlacementRound::rank(Timestamp now, const WorkerTable &workers, const Step &step)
{
    if (!m_isCollected)
        collect(now, workers);
    m_now = now;
    m_step = &step;
    m_ranked.clear();
    m_candidates = nullptr;
    m_wasTurnedAway = false;
    const auto pool = m_pools.find(step.job->pool);
    if (pool == m_pools.end())
        return;
    m_candidates = &pool->second;
    rankAll();
}

void PlacementRound::rankAll()
{
    m_ranked.clear();
    const Size reserved = m_step->spec->reserved();
    for (std::size_t it = 0; it < m_candidates->size(); ++it) {
        if ((*m_candidates)[it].mayFit(reserved, *m_step->spec))
            add(it);
    }
}

void PlacementRound::add(std::size_t candidate)
{
    const Worker &worker = *(*m_candidates)[candidate].worker;
    if (!m_placer->fits(worker, *m_step)
        || (m_step->permits() != nullptr && m_step->permits()->find(worker, m_now) == nullptr))
        return;
    if (m_placer->turnsAway(m_now, worker, *m_step)) {
        m_wasTurnedAway = true;
        return;
    }
    m_ranked.push_back(
            { .score = m_placer->score(m_now, worker, *m_step), .candidate = candidate });
    std::push_heap(m_ranked.begin(), m_ranked.end());
}

PlacementRound::Ranked PlacementRound::takeBest()
{
    std::pop_heap(m_ranked.begin(), m_ranked.end());
    const Ranked best = m_ranked.back();
    m_ranked.pop_back();
    return best;
}

void PlacementRound::dropHeldBack()
{
    while (!m_ranked.empty()
           && m_placer->isHeldBack(*(*m_candidates)[m_ranked.front().candidate].worker, *m_step))
        (void)takeBest();
}

Worker *PlacementRound::choose(const Task &task)
{
    dropHeldBack();
    if (m_ranked.empty())
        return nullptr;
    Ranked chosen = takeBest();
    dropHeldBack();
    const Worker &best = *(*m_candidates)[chosen.candidate].worker;
    const double penalty = m_placer->taskPenalty(best, task);
    // Only the worker on which the task failed last has another score for the task than for its
    // step.
    if (penalty > 0 && !m_ranked.empty()) {
        const Ranked next = m_ranked.front();
        if (Ranked { .score = chosen.score - penalty, .candidate = chosen.candidate } < next) {
            std::pop_heap(m_ranked.begin(), m_ranked.end());
            m_ranked.back() = chosen;
            std::push_heap(m_ranked.begin(), m_ranked.end());
            chosen = next;
        }
    }
    m_chosen = chosen.candidate;
    return (*m_candidates)[m_chosen].worker;
}

void PlacementRound::placed()
{
    (*m_candidates)[m_chosen].update();
    if (m_step->spec->sameRack) {
        // The rack of the step has changed, and with it the scores of all workers.
        rankAll();
        return;
    }
    if ((*m_candidates)[m_chosen].mayFit(m_step->spec->reserved(), *m_step->spec))
        add(m_chosen);
}

} // namespace acaciafork::jobs
