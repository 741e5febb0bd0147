#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "acaciafork/core/Ids.h"
#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// The replicated service configuration. Its version increases with each change; changes use
/// compare-and-set; a bounded number of past versions is kept.
class Configuration
{
public:
    explicit Configuration(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Accepts a document if `expected_version` is the current version. Otherwise the result is a
    /// conflict that names the author and time of the current version.
    ApplyResult propose(const wire::ProposeConfig &command, std::int64_t nowMicroseconds);

    /// Current version; 0 before the first proposal.
    [[nodiscard]] ConfigVersion version() const;

    /// Current record; empty before the first proposal.
    [[nodiscard]] const wire::ConfigRecord &current() const;

    /// Returns the record of a version, or nullptr if it is not in the history.
    [[nodiscard]] const wire::ConfigRecord *find(ConfigVersion version) const;

    /// Records of the versions kept, oldest first.
    [[nodiscard]] const std::deque<wire::ConfigRecord> &history() const { return m_history; }

    /// Appends every record to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads one snapshot record. Returns false if it is not valid, or if its version does not
    /// directly follow that of the record before.
    bool load(const wire::ConfigRecord &record);

private:
    /// Describes the first problem found in a document; empty if it is valid.
    [[nodiscard]] std::string validationError(const wire::ConfigDocument &document) const;

    const StateLimits &m_limits;
    std::deque<wire::ConfigRecord> m_history;
};

} // namespace acaciafork::state
