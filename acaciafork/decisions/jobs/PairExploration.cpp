#include "acaciafork/decisions/jobs/PairExploration.h"

#include <algorithm>

namespace acaciafork::jobs {
namespace {

/// As in the interference model: images beyond this number share entries.
constexpr std::size_t capacity = batch::InterferenceModel::familyCapacity;

} // namespace

std::size_t PairExploration::pairIndex(batch::Index serving, batch::Index filling)
{
    return serving % capacity * capacity + filling % capacity;
}

bool PairExploration::mayExplore(WorkerId worker, batch::Index serving, batch::Index filling) const
{
    return !isExploring(worker) && (m_pairs.empty() || m_pairs[pairIndex(serving, filling)] == 0);
}

void PairExploration::add(const Hold &hold)
{
    m_holds.push_back(hold);
    if (hold.worker.value >= m_workers.size())
        m_workers.resize(hold.worker.value + std::size_t { 1 });
    ++m_workers[hold.worker.value];
}

void PairExploration::begin(Timestamp now, WorkerId worker, batch::Index serving,
                            batch::Index filling)
{
    m_pairs.resize(capacity * capacity);
    // Overdue starts may exceed the bound; the count must not overflow.
    if (m_pairs[pairIndex(serving, filling)] == UINT8_MAX)
        return;
    ++m_pairs[pairIndex(serving, filling)];
    add({ .worker = worker, .serving = serving, .filling = filling, .until = now + maxLength });
}

void PairExploration::block(Timestamp now, WorkerId worker, Duration length)
{
    add({ .worker = worker, .until = now + length });
}

template <typename Predicate>
void PairExploration::drop(Predicate isOver)
{
    std::erase_if(m_holds, [&](const Hold &it) {
        if (!isOver(it))
            return false;
        --m_workers[it.worker.value];
        if (it.filling != batch::noIndex)
            --m_pairs[pairIndex(it.serving, it.filling)];
        return true;
    });
}

void PairExploration::settle(batch::Index serving, batch::Index filling)
{
    drop([&](const Hold &it) { return it.serving == serving && it.filling == filling; });
}

void PairExploration::ended(WorkerId worker, batch::Index filling)
{
    if (isExploring(worker))
        drop([&](const Hold &it) { return it.worker == worker && it.filling == filling; });
}

bool PairExploration::isExplored(batch::Index filling) const
{
    return std::ranges::any_of(m_holds, [&](const Hold &it) { return it.filling == filling; });
}

void PairExploration::expire(Timestamp now)
{
    drop([&](const Hold &it) { return now >= it.until; });
}

void PairExploration::clear()
{
    m_holds.clear();
    m_pairs.clear();
    m_workers.clear();
}

} // namespace acaciafork::jobs
