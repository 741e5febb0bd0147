#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// The workers to which leaders may have sent commands, what is known of their tasks, and the
/// tenure number of the current leader. A new leader asks each of these workers what it is running
/// before it starts anything that may already be running there.
class WorkerRecords
{
public:
    /// Workers by name.
    using Map = std::map<std::string, wire::WorkerLife, std::less<>>;

    explicit WorkerRecords(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Removes workers, then adds or replaces others.
    ApplyResult change(const wire::ChangeWorkers &command);
    /// Begins the next tenure; the version in the result is its number.
    ApplyResult beginTenure();

    /// Replaces the recorded interference between pairs of images.
    ApplyResult recordDisturbance(const wire::RecordDisturbance &command);
    [[nodiscard]] const wire::RecordDisturbance &disturbance() const { return m_disturbance; }

    [[nodiscard]] const Map &all() const { return m_workers; }
    /// Number of the most recent tenure; 0 before the first.
    [[nodiscard]] std::uint64_t tenure() const { return m_tenure; }

    /// Appends all workers, the tenure and the interference records to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record; returns false if it is not valid.
    bool load(const wire::WorkerLife &record);
    bool load(const wire::TenureRecord &record);
    bool load(const wire::RecordDisturbance &record);

private:
    const StateLimits &m_limits;
    Map m_workers;
    std::uint64_t m_tenure = 0;
    wire::RecordDisturbance m_disturbance;
};

} // namespace acaciafork::state
