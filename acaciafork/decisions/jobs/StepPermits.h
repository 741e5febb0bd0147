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

/// Times and amounts of asking for permits.
struct PermitSettings
{
    /// Most workers named in one question; the objective of a job counts on 30 a step.
    std::size_t maxWorkersPerRequest = 30;
    /// Named beyond two for each task that waits: some are refused.
    std::size_t spareWorkersPerRequest = 4;
    /// A permit is not used this shortly before its end: the start has to arrive.
    Duration margin = std::chrono::milliseconds(300);
    /// Pause after a question without an answer.
    Duration retryDelay = std::chrono::milliseconds(250);
};

/// Permit to run the tasks of one step on one worker.
struct Permit
{
    /// What the worker wants to see; opaque.
    std::string text;
    /// Life of the worker that it is for.
    Incarnation born;
    Timestamp until;
};

/// Where a step may run, for a queue whose policy only an outside advisor knows. Whether a worker
/// may run a step does not change during a life of it; a permit ends after a time.
///
/// Load pattern: an advisor that answers slowly and one question at a time. Workers that have been
/// refused are not named again, those that are known to be allowed come first, then those with the
/// most room, and no more are named than the waiting tasks are likely to need.
class StepPermits
{
public:
    explicit StepPermits(const PermitSettings &settings = {})
        : m_settings(settings)
    { }

    /// Permit for a start on the worker now, or null.
    [[nodiscard]] const Permit *find(const Worker &worker, Timestamp now) const;

    /// Workers to ask about; empty when an answer is awaited or nobody is left to ask about.
    [[nodiscard]] std::vector<WorkerName> chooseWorkersToRequest(Timestamp now,
                                                                 const WorkerTable &workers,
                                                                 const Placer &placer,
                                                                 const Step &step) const;
    /// The question is on its way.
    void requestSent(const std::vector<WorkerName> &names, const WorkerTable &workers);
    /// @param[in] good workers that are allowed, with their permits
    void requestAnswered(Timestamp now,
                         const std::vector<std::pair<WorkerName, std::string>> &allowed,
                         Duration validity);
    /// The question got no answer.
    void requestFailed(Timestamp now);
    /// A worker has refused its permit: it is asked about again.
    void discard(const WorkerName &worker);

private:
    /// What is known of one worker.
    struct Decision
    {
        Incarnation born;
        bool isAllowed = false;
        Permit permit;
    };

    PermitSettings m_settings;
    std::map<WorkerName, Decision> m_decisions;
    /// Workers of the question that is on its way, in the lives asked about.
    std::vector<std::pair<WorkerName, Incarnation>> m_requested;
    Timestamp m_retryAt;
};

} // namespace acaciafork::jobs
