#pragma once

#include <cstdint>

#include "acaciafork/state/ApplyResult.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {

class SnapshotWriter;

/// The configuration of queues: the highest version ever accepted is in force.
class Queues
{
public:
    explicit Queues(const StateLimits &limits)
        : m_limits(limits)
    { }

    /// Takes the document if its version is higher than the one in force. A version that is not
    /// higher counts as applied already, since the change it carries is past or overtaken.
    ApplyResult propose(const wire::ProposeQueues &command);

    /// Version in force; 0 before the first document.
    [[nodiscard]] std::uint64_t version() const { return m_current.version(); }
    /// Document in force; an empty one before the first.
    [[nodiscard]] const wire::QueueConfig &current() const { return m_current; }

    /// Appends the document to a snapshot.
    void save(SnapshotWriter *writer) const;
    /// Takes the document of a snapshot in; false for a second one.
    bool load(const wire::QueueConfig &record);

private:
    const StateLimits &m_limits;
    wire::QueueConfig m_current;
};

} // namespace acaciafork::state
