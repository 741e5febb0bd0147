#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "acaciafork/decisions/jobs/Placer.h"
#include "acaciafork/decisions/jobs/StepOrder.h"
#include "acaciafork/decisions/jobs/WorkerTable.h"
#include "acaciafork/decisions/relocation/Relocation.h"

namespace acaciafork::jobs {

/// Moves serving tasks together so that backfill images which disturb them find open workers; see
/// relocation::RelocationPlanner.
///
/// Presents the workers of each pool to a planner, marks the open workers, and holds room for each
/// task at its new worker while it stops at the old one.
class ServingRelocation
{
public:
    /// Run to be stopped, and the worker where its task is to run next.
    struct Move
    {
        RunRef run;
        WorkerId to;
    };
    /// Room held for a task that is being moved.
    struct Hold
    {
        WorkerId worker;
        Size size;
        Timestamp since;
    };
    using MayMove = std::function<bool(const Worker &, const RunRef &)>;

    /// Chooses the moves to order now and updates Worker::openTo.
    /// @param[in] mayMove true for a serving run on a worker that may be stopped now
    [[nodiscard]] std::vector<Move> plan(Timestamp now, const StepOrder &order,
                                         const WorkerTable &workers, const Placer &placer,
                                         const MayMove &mayMove);

    /// Holds room for the task at its new worker.
    void begin(Timestamp now, const Move &move, const WorkerTable &workers);
    /// Ends the hold of a task, if there is one.
    void end(const TaskKey &task, const WorkerTable &workers);
    /// Ends the holds that have lasted for too long.
    void expire(Timestamp now, const WorkerTable &workers);
    void clear();

    [[nodiscard]] const std::map<TaskKey, Hold> &holds() const { return m_holds; }
    /// Number of open workers.
    [[nodiscard]] std::size_t openWorkers() const;

private:
    using Planners = std::map<std::string, relocation::RelocationPlanner>;

    std::vector<Move> planPool(Timestamp now, const std::string &pool,
                               std::span<const relocation::ImageDemand> images,
                               const WorkerTable &workers, const Placer &placer,
                               const MayMove &mayMove);

    Planners m_planners;
    std::map<TaskKey, Hold> m_holds;
};

} // namespace acaciafork::jobs
