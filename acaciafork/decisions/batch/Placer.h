#pragma once

#include "acaciafork/decisions/batch/Model.h"

namespace acaciafork::batch {

/// Result of a search for a worker.
struct Placement
{
    /// Chosen worker, or noIndex.
    Index worker = noIndex;
    /// At least one worker had room, whether or not it was chosen.
    bool anyRoom = false;
};

/// Chooses a worker for one task among the workers with room for it.
class Placer
{
public:
    explicit Placer(Model *model);

    /// Returns the best of a bounded number of workers with room for `size`.
    Placement choose(Index task, const Resources &size);

private:
    [[nodiscard]] SearchOrder orderFor(const Task &task) const;
    Placement chooseForJob(const Task &task, const Resources &size);
    Placement chooseForService(const Task &task, const Resources &size);
    /// Cost of placing a job on a worker; lower is better, always finite.
    [[nodiscard]] double jobCost(const Task &task, const Resources &size, Index worker) const;
    /// Total slowdown that placing the task on the worker would add: to services, and to jobs
    /// including the task itself.
    struct AddedSlowdown
    {
        double toServices = 0;
        double toJobs = 0;
    };
    [[nodiscard]] AddedSlowdown addedSlowdown(const Task &task, const Resources &size,
                                              Index worker) const;
    [[nodiscard]] double worstServiceSlowdown(const Task &task, const Worker &worker,
                                              Index level) const;
    /// True when the task has run far longer than usual for its family and so is likely to stay for
    /// long.
    [[nodiscard]] bool isStraggler(const Task &task) const;
    [[nodiscard]] bool hostsService(const Worker &worker) const;
    [[nodiscard]] static bool failedAt(const Task &task, Index worker);
    /// Cost of the free resources that would remain: their amount, and the imbalance between cores
    /// and memory. From 0 (worker full) to 1.
    [[nodiscard]] static double leftoverCost(const Worker &worker, const Resources &size);
    /// True when the task would take cores or memory that are reserved for the free accelerators of
    /// the worker.
    [[nodiscard]] static bool strandsAccelerators(const Worker &worker, const Resources &size);
    void countReplicas(Index service);

    Model *m_model;
    /// Replicas of the service being placed, by rack and by zone.
    std::vector<std::uint32_t> m_replicasInRack;
    std::vector<std::uint32_t> m_replicasInZone;
};

} // namespace acaciafork::batch
