#pragma once

#include "acaciafork/decisions/batch/Model.h"

namespace acaciafork::batch {

/// Outcome of a search for a place.
struct Placement
{
    /// Chosen worker, or noIndex.
    Index worker = noIndex;
    /// Some worker had room, whether or not it was chosen.
    bool anyRoom = false;
};

/// Chooses a worker for one task among those with room.
class Placer
{
public:
    explicit Placer(Model *model);

    /// Best of a bounded number of workers with room for `size`.
    Placement choose(Index task, const Resources &size);

private:
    [[nodiscard]] SearchOrder orderFor(const Task &task) const;
    Placement chooseForJob(const Task &task, const Resources &size);
    Placement chooseForService(const Task &task, const Resources &size);
    /// Cost of a place; lower is better, negative infinity is never reached.
    [[nodiscard]] double jobCost(const Task &task, const Resources &size, Index worker) const;
    /// Slowdown that the task would add at the worker: to services, and to jobs and itself.
    struct AddedSlowdown
    {
        double toServices = 0;
        double toJobs = 0;
    };
    [[nodiscard]] AddedSlowdown addedSlowdown(const Task &task, const Resources &size,
                                              Index worker) const;
    [[nodiscard]] double worstServiceSlowdown(const Task &task, const Worker &worker,
                                              Index level) const;
    /// It has run far longer than its family does, so it will hold its place for long.
    [[nodiscard]] bool isStraggler(const Task &task) const;
    [[nodiscard]] bool hostsService(const Worker &worker) const;
    [[nodiscard]] static bool failedAt(const Task &task, Index worker);
    /// Room left over and how unevenly, from 0 (full) to 1.
    [[nodiscard]] static double leftoverCost(const Worker &worker, const Resources &size);
    /// True when the task would take cores that the worker's free accelerators need.
    [[nodiscard]] static bool strandsAccelerators(const Worker &worker, const Resources &size);
    void countReplicas(Index service);

    Model *m_model;
    /// Replicas of the service being placed, by rack and by zone.
    std::vector<std::uint32_t> m_replicasInRack;
    std::vector<std::uint32_t> m_replicasInZone;
};

} // namespace acaciafork::batch
