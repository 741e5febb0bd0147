#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::relocation {

/// Set of backfill images, as bits; bit n stands for FleetView::images[n].
using ImageSet = std::uint64_t;

/// Maximum number of backfill images that a fleet view holds.
inline constexpr std::size_t maxImages = 64;

/// Reserved or free resources of a worker: processor time in millicores, memory in megabytes.
struct Room
{
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;

    Room &operator+=(const Room &other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        return *this;
    }
    Room &operator-=(const Room &other)
    {
        millicores -= other.millicores;
        memoryMb -= other.memoryMb;
        return *this;
    }
    [[nodiscard]] bool fitsIn(const Room &free) const
    {
        return millicores <= free.millicores && memoryMb <= free.memoryMb;
    }
};

/// Serving task at work on a worker.
struct ServingTask
{
    /// Number by which the caller knows the task.
    std::uint32_t id = 0;
    /// Number of its step; the tasks of one step are alike in room, images and limit.
    std::uint32_t step = 0;
    /// Room reserved for the task.
    Room room;
    /// Backfill images that are not placed beside the task.
    ImageSet excluded = 0;
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    std::uint32_t maxPerWorker = 0;
    /// The task may be stopped now to run elsewhere.
    bool mayMove = false;
    /// Time since the task started on its worker.
    Duration age = Duration::max();
};

/// Worker of the pool.
struct WorkerView
{
    /// Number by which the caller knows the worker.
    std::uint32_t id = 0;
    Room capacity;
    /// Room that is neither reserved nor held.
    Room free;
    /// Millicores reserved by tasks that do not serve.
    std::int64_t otherMillicores = 0;
    /// Backfill images with a task at work there.
    ImageSet running = 0;
    /// The worker accepts new tasks.
    bool isUsable = false;
    std::vector<ServingTask> tasks;
};

/// Demand for one backfill image.
struct ImageDemand
{
    /// Number by which the caller knows the image, the same in each view; differs between the
    /// images of a view.
    std::uint32_t id = 0;
    /// Millicores that its running and waiting tasks ask for.
    std::int64_t millicores = 0;
    /// Its tasks have waited for long.
    bool isBlocked = false;
};

/// The workers of one pool and the demand for backfill there.
struct FleetView
{
    std::vector<WorkerView> workers;
    /// At most maxImages; their order may differ from view to view.
    std::vector<ImageDemand> images;
};

/// Move of a serving task from its worker to another.
struct Relocation
{
    std::uint32_t task = 0;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
};

} // namespace acaciafork::relocation
