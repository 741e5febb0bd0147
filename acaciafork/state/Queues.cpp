#include "acaciafork/state/Queues.h"

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {

ApplyResult Queues::propose(const wire::ProposeQueues &command)
{
    const wire::QueueConfig &config = command.config();
    if (config.version() == 0)
        return makeResult(wire::OUTCOME_INVALID, version(), "versions begin at 1");
    if (config.version() <= version())
        return makeResult(wire::OUTCOME_ALREADY_APPLIED, version());
    if (config.ByteSizeLong() > m_limits.queueConfigBytes)
        return makeResult(wire::OUTCOME_FULL, version(), "the configuration is too large");
    m_current = config;
    return makeResult(wire::OUTCOME_APPLIED, version());
}

void Queues::save(SnapshotWriter *writer) const
{
    if (version() != 0)
        *writer->record().mutable_queues() = m_current;
}

bool Queues::load(const wire::QueueConfig &record)
{
    if (version() != 0 || record.version() == 0)
        return false;
    m_current = record;
    return true;
}

} // namespace acaciafork::state
