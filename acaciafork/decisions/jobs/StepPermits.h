#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "acaciafork/decisions/jobs/Types.h"

namespace acaciafork::jobs {

class WorkerTable;
class Placer;
struct Step;
struct Worker;

/// Settings for permit requests.
struct PermitSettings
{
    /// Maximum number of workers in one request; job objectives assume 30 per step.
    std::size_t maxWorkersPerRequest = 30;
    /// Workers in a request in addition to two per waiting task, since some are refused.
    std::size_t spareWorkersPerRequest = 4;
    /// A permit is not used within this time before it expires, since the start order has to arrive
    /// in time.
    Duration margin = std::chrono::milliseconds(300);
    /// Delay after a request without an answer.
    Duration retryDelay = std::chrono::milliseconds(250);
};

/// Permit to run the tasks of one step on one worker.
struct Permit
{
    /// Opaque text that the worker verifies.
    std::string text;
    /// Incarnation of the worker that it is valid for.
    Incarnation born;
    Timestamp until;
};

/// Tracks which workers may run a step, for a queue whose placement policy is decided by an
/// external advisor. The decision for a step and a worker does not change during an incarnation of
/// the worker; a permit expires after some time.
///
/// Designed for an advisor that answers slowly and one request at a time. Workers that have been
/// refused are not requested again, nor are those known to be allowed while no task fits there;
/// those known to be allowed come first, then those with the most free capacity; and a request
/// names no more workers than the waiting tasks are likely to need. So a step whose tasks fit
/// nowhere stops requesting once it knows all workers, and leaves the advisor to the others.
class StepPermits
{
public:
    explicit StepPermits(const PermitSettings &settings = {})
        : m_settings(settings)
    { }

    /// Permit to start on the worker now, or null.
    [[nodiscard]] const Permit *find(const Worker &worker, Timestamp now) const;

    /// Workers to request permits for; empty while a request is in flight or no candidates are
    /// left.
    [[nodiscard]] std::vector<WorkerName> chooseWorkersToRequest(Timestamp now,
                                                                 const WorkerTable &workers,
                                                                 const Placer &placer,
                                                                 const Step &step) const;
    /// Called when a request has been sent.
    void requestSent(const std::vector<WorkerName> &names, const WorkerTable &workers);
    /// @param[in] allowed allowed workers with their permits
    void requestAnswered(Timestamp now,
                         const std::vector<std::pair<WorkerName, std::string>> &allowed,
                         Duration validity);
    /// Called when a request got no answer.
    void requestFailed(Timestamp now);
    /// Discards the permit of a worker that refused it, so that a new one is requested.
    void discard(const WorkerName &worker);

private:
    /// Decision of the advisor about one worker.
    struct Decision
    {
        Incarnation born;
        bool isAllowed = false;
        Permit permit;
    };

    PermitSettings m_settings;
    std::map<WorkerName, Decision> m_decisions;
    /// Workers of the request in flight, with their incarnations at that time.
    std::vector<std::pair<WorkerName, Incarnation>> m_requested;
    Timestamp m_retryAt;
};

} // namespace acaciafork::jobs
