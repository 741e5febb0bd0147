#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// The workers that leaders may have given orders to, what was learnt of their tasks, and the
/// number of the present leader's tenure. A new leader asks each of these workers what it runs
/// before it starts anything that may already run there.
class WorkerRecords
{
public:
    /// Workers by name.
    using Map = std::map<std::string, wire::WorkerLife, std::less<>>;

    explicit WorkerRecords(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Adds, replaces and removes workers.
    ApplyResult change(const wire::ChangeWorkers &command);
    /// Begins the next tenure; the version of the result is its number.
    ApplyResult beginTenure();

    /// Replaces what is known of images that disturb each other.
    ApplyResult recordDisturbance(const wire::RecordDisturbance &command);
    [[nodiscard]] const wire::RecordDisturbance &disturbance() const { return m_disturbance; }

    [[nodiscard]] const Map &all() const { return m_workers; }
    /// Number of the tenure that began last; 0 before the first.
    [[nodiscard]] std::uint64_t tenure() const { return m_tenure; }

    /// Appends everything to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it is not valid.
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
