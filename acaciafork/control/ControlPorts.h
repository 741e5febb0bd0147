#pragma once

#include <string>
#include <string_view>

#include "acaciafork/consensus/Consensus.h"
#include "acaciafork/decisions/batch/Batch.h"

namespace acaciafork::control {

/// What a control member's decisions ask of the agreement and of the platform around them.
class ControlPorts
{
public:
    virtual ~ControlPorts() = default;

    /// Proposes an encoded wire::Command; ControlNode::applied() follows when it is committed.
    virtual Result<consensus::LogPosition> propose(Timestamp now, std::string command) = 0;
    /// True while this member surely leads, so that commands to the outside may go out.
    [[nodiscard]] virtual bool canActAsLeader(Timestamp now) const = 0;
    /// The leader as this member knows it; none while unknown.
    [[nodiscard]] virtual ProcessId leader() const = 0;
    /// Carries out a worker call (StartTask, RenewLease, ...) at the worker's address;
    /// ControlNode::workerCallAnswered() follows.
    virtual void callWorker(std::string_view address, const batch::Command &command) = 0;
};

} // namespace acaciafork::control
