#pragma once

#include "acaciafork/control/JobDriver.h"

namespace acaciafork::control {

/// Carries out the commands of the scheduler, one overload for each kind.
struct JobCommandRunner
{
    JobDriver &driver;
    Moment at;

    void operator()(const jobs::StartRun &command) const;
    void operator()(const jobs::StopRun &command) const;
    void operator()(const jobs::PaceRun &command) const;
    void operator()(const jobs::RenewWorkerLease &command) const;
    void operator()(const jobs::RequestPermits &command) const;
    void operator()(const jobs::RecordEnds &command) const;
    void operator()(const jobs::RecordExposures &command) const;
    void operator()(const jobs::RecordWorkers &command) const;
    void operator()(const jobs::RecordDisturbance &command) const;
    void operator()(const jobs::JobEnded &command) const;
    void operator()(const jobs::LogEvent &command) const;

private:
    /// Proposes a record after all earlier ones of its kind; one that can't be proposed now waits
    /// in `unrecorded`.
    /// @param[in] committed called with the time once it is committed, unless the leadership is
    /// over:
    ///                      the next leader sees again what the record would have told
    template <typename Record, typename Committed>
    void record(const Record &command, wire::Command &&proposal, std::vector<Record> *unrecorded,
                Committed committed) const;
};

} // namespace acaciafork::control
