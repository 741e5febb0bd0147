#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/relocation/FleetView.h"
#include "acaciafork/decisions/relocation/OpenWorkers.h"
#include "acaciafork/decisions/relocation/RelocationSettings.h"

namespace acaciafork::relocation {

/// Opens workers to backfill images that find no worker which bears them.
///
/// Some backfill images disturb most serving images, and serving tasks stay for long where they
/// were first placed. Spread over all workers, they leave much processor time unused, none of which
/// these images may use. The planner chooses open workers, whose serving tasks bear the blocked
/// images or which have none, and moves the serving tasks that exclude these images to the other
/// workers. Where that is full, a task that bears them is moved to an open worker to make room.
///
/// A task whose age the caller gives moves at most once in minStayTime. While the open workers stay
/// the same, each move brings a task to where it may stay, so there are at most as many moves as
/// serving tasks. A worker that was closed stays so for minClosedTime.
class RelocationPlanner
{
public:
    explicit RelocationPlanner(const RelocationSettings &settings = {})
        : m_settings(settings)
        , m_open(settings)
    { }

    /// Chooses the open workers and the moves to order now.
    [[nodiscard]] std::vector<Relocation> plan(Timestamp now, FleetView fleet);

    /// Images for which the worker is open, as bits of the last view; 0 for none.
    [[nodiscard]] ImageSet openTo(std::uint32_t worker) const { return m_open.openTo(worker); }
    [[nodiscard]] std::size_t openCount() const { return m_open.count(); }

private:
    /// Move that is to make room for a task of another worker.
    struct Swap
    {
        /// Worker where the room is to be, and how much of it.
        std::uint32_t worker = 0;
        Room room;
        Timestamp since;
        /// Counted in this plan for a task that waits for room.
        bool isAwaited = false;
    };
    /// Worker as the moves of a plan change it.
    struct Site
    {
        WorkerView *worker = nullptr;
        ImageSet openTo = 0;
        /// Images that one of its tasks excludes.
        ImageSet excluded = 0;
    };

    void planMoves(Timestamp now, FleetView *fleet);
    [[nodiscard]] bool moveAway(Timestamp now, Site *from, const ServingTask &task);
    [[nodiscard]] bool mayMove(const ServingTask &task) const;
    [[nodiscard]] Site *findDestination(const Site &from, const ServingTask &task);
    /// Looks for an open worker with room for the task.
    [[nodiscard]] Site *findOpenDestination(const ServingTask &task);
    [[nodiscard]] bool awaitsRoom(const ServingTask &task);
    [[nodiscard]] bool makeRoom(Timestamp now, const ServingTask &task);
    void move(Site *from, Site *to, const ServingTask &task);

    RelocationSettings m_settings;
    OpenWorkers m_open;
    std::vector<Swap> m_swaps;

    // State of one plan.
    std::vector<Site> m_sites;
    std::vector<Site *> m_openSites;
    std::vector<Relocation> m_moves;
    /// Steps with a task that moves in this plan.
    std::vector<std::uint32_t> m_movedSteps;
    /// Open workers with room for a task of a step; none where there is no such worker.
    std::unordered_map<std::uint32_t, Site *> m_openDestinations;
};

} // namespace acaciafork::relocation
