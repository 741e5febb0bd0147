#include "acaciafork/state/WorkerRecords.h"

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {

ApplyResult WorkerRecords::change(const wire::ChangeWorkers &command)
{
    for (const std::string &it : command.removed())
        m_workers.erase(it);
    for (const wire::WorkerLife &it : command.put()) {
        if (it.worker().empty() || it.worker().size() > maxNameBytes)
            return makeResult(wire::OUTCOME_INVALID, 0, "a worker has a name of bounded length");
        if (!m_workers.contains(it.worker()) && m_workers.size() >= m_limits.workers)
            return makeResult(wire::OUTCOME_FULL, 0, "too many workers");
        m_workers[it.worker()] = it;
    }
    return makeResult(wire::OUTCOME_APPLIED);
}

ApplyResult WorkerRecords::recordDisturbance(const wire::RecordDisturbance &command)
{
    if (static_cast<std::size_t>(command.pairs_size()) > m_limits.disturbancePairs)
        return makeResult(wire::OUTCOME_FULL, 0, "too many pairs of images");
    m_disturbance = command;
    return makeResult(wire::OUTCOME_APPLIED);
}

ApplyResult WorkerRecords::beginTenure()
{
    return makeResult(wire::OUTCOME_APPLIED, ++m_tenure);
}

void WorkerRecords::save(SnapshotWriter *writer) const
{
    for (const auto &[name, worker] : m_workers)
        *writer->record().mutable_worker() = worker;
    if (m_tenure != 0)
        writer->record().mutable_tenure()->set_tenure(m_tenure);
    if (m_disturbance.pairs_size() > 0)
        *writer->record().mutable_disturbance() = m_disturbance;
}

bool WorkerRecords::load(const wire::WorkerLife &record)
{
    return !record.worker().empty() && m_workers.try_emplace(record.worker(), record).second;
}

bool WorkerRecords::load(const wire::RecordDisturbance &record)
{
    if (m_disturbance.pairs_size() > 0)
        return false;
    m_disturbance = record;
    return true;
}

bool WorkerRecords::load(const wire::TenureRecord &record)
{
    if (m_tenure != 0 || record.tenure() == 0)
        return false;
    m_tenure = record.tenure();
    return true;
}

} // namespace acaciafork::state
