#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "acaciafork/core/Ids.h"
#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// The configuration: versions that only grow, changed by compare-and-set, with a bounded history.
class Configuration
{
public:
    explicit Configuration(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Accepts a document if `expected_version` is the version in force. The conflict of a lost
    /// race names the author and time of the winner.
    ApplyResult propose(const wire::ProposeConfig &command, std::int64_t nowMicroseconds);

    /// Version in force; 0 before the first proposal.
    [[nodiscard]] ConfigVersion version() const;

    /// Record in force; an empty one before the first proposal.
    [[nodiscard]] const wire::ConfigRecord &current() const;

    /// Record of a version that is still in the history, else nullptr.
    [[nodiscard]] const wire::ConfigRecord *find(ConfigVersion version) const;

    /// Versions kept, oldest first.
    [[nodiscard]] const std::deque<wire::ConfigRecord> &history() const { return m_history; }

    /// Appends every record to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes in one record of a snapshot; false when it does not follow the one before.
    bool load(const wire::ConfigRecord &record);

private:
    /// What is wrong with a document; empty when nothing is.
    [[nodiscard]] std::string validationError(const wire::ConfigDocument &document) const;

    const StateLimits &m_limits;
    std::deque<wire::ConfigRecord> m_history;
};

} // namespace acaciafork::state
