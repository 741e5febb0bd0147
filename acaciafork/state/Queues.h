#pragma once

#include <cstdint>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// The configuration of the job queues. The document with the highest version is the current one.
class Queues
{
public:
    explicit Queues(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Accepts the document if its version is higher than the current one. Otherwise the outcome is
    /// "already applied", since the document was accepted before or has been superseded.
    ApplyResult propose(const wire::ProposeQueues &command);

    /// Current version; 0 before the first document.
    [[nodiscard]] std::uint64_t version() const { return m_current.version(); }
    /// Current document; empty before the first one.
    [[nodiscard]] const wire::QueueConfig &current() const { return m_current; }

    /// Appends the current document, if there is one, to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Loads the document of a snapshot; returns false for a second one or one without a version.
    bool load(const wire::QueueConfig &record);

private:
    const StateLimits &m_limits;
    wire::QueueConfig m_current;
};

} // namespace acaciafork::state
