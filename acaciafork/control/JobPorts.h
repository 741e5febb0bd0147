#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::control {

/// Outcome of one order, as the port reports it.
struct WorkerAnswer
{
    jobs::WorkerId worker;
    /// Tenure in which the order was given; answers to an earlier one are dropped.
    jobs::Tenure tenure;
    jobs::OrderOutcome outcome = jobs::OrderOutcome::Unanswered;
    /// Number of the order at a relay, see jobs::OrderTarget.
    std::uint64_t order = 0;
    /// Incarnation for which the order was meant, see jobs::OrderTarget.
    std::uint32_t life = 0;
};

/// Gets the answers to orders, each once.
class WorkerAnswers
{
public:
    virtual ~WorkerAnswers() = default;

    virtual void startAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) = 0;
    virtual void stopAnswered(Moment at, WorkerAnswer answer, const jobs::RunKey &run) = 0;
    /// @param[in] lists what the worker runs; read only where the outcome is Done
    virtual void renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                                 const jobs::RenewalAnswer *lists) = 0;
};

/// Orders to workers, as the scheduler of jobs gives them. The answer to each but a pace goes to
/// the WorkerAnswers of whoever carries them, once.
class WorkerOrders
{
public:
    virtual ~WorkerOrders() = default;

    /// @param[in] payload what the job hands to each of its tasks
    virtual void start(const jobs::StartRun &order, std::string_view payload,
                       jobs::Tenure tenure) = 0;
    virtual void stop(const jobs::StopRun &order, jobs::Tenure tenure) = 0;
    virtual void pace(const jobs::PaceRun &order, jobs::Tenure tenure) = 0;
    virtual void hold(const jobs::RenewWorkerLease &order, jobs::Tenure tenure) = 0;
};

/// Answer of the advisor to a question.
struct PermitAnswer
{
    /// Step that was asked about, by its first task.
    jobs::TaskKey step;
    jobs::Tenure tenure;
    bool isAnswered = false;
    /// Workers that are allowed, with their permits.
    std::vector<std::pair<WorkerName, std::string>> good;
    /// How long the permits hold; zero where the answer does not say.
    Duration validity {};
};

/// The advisor outside that knows which workers may run a step. Each question's answer goes back to
/// the JobDriver, once.
class PlacementAdvisor
{
public:
    virtual ~PlacementAdvisor() = default;

    virtual void ask(const jobs::RequestPermits &question, jobs::Tenure tenure) = 0;
};

} // namespace acaciafork::control
