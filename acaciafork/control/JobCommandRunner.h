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

    /// Sends a start whose record is committed.
    void order(const jobs::StartRun &command) const;

    /// Proposes the records that are not proposed yet, as far as they can be proposed now.
    void proposeRecords() const;

private:
    /// The scheduler is notified once a record is committed, unless the leadership is over: the
    /// next leader learns the same from the workers' lists.
    template <typename Record>
    void proposeRecords(RecordQueue<Record> *queue) const;
};

} // namespace acaciafork::control
