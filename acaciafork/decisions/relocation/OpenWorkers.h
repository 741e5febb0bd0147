#pragma once

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "acaciafork/decisions/relocation/FleetView.h"
#include "acaciafork/decisions/relocation/RelocationSettings.h"

namespace acaciafork::relocation {

/// Workers open to blocked images: serving tasks that exclude these images are to leave them.
///
/// A worker stays open while its images ask for it, for at least minOpenTime, and is not opened
/// again for minClosedTime after it was closed. Only serving tasks that need the room close it
/// earlier.
class OpenWorkers
{
public:
    explicit OpenWorkers(const RelocationSettings &settings)
        : m_settings(settings)
    { }

    /// Opens and closes workers for the demand.
    void update(Timestamp now, const FleetView &fleet);

    /// Records a try to move tasks away from an open worker.
    /// @param[in] moved whether a task was moved, or room for one is made
    void recordTry(Timestamp now, std::uint32_t worker, bool moved);

    /// Images for which the worker is open, as bits of the last view; 0 for none.
    [[nodiscard]] ImageSet openTo(std::uint32_t worker) const
    {
        const auto it = m_open.find(worker);
        return it == m_open.end() ? 0 : it->second.images;
    }
    /// Time of the last failed try since a task was moved away; none if there is no such try.
    [[nodiscard]] std::optional<Timestamp> lastFailure(std::uint32_t worker) const
    {
        const auto it = m_open.find(worker);
        return it == m_open.end() ? std::nullopt : it->second.lastFailure;
    }
    [[nodiscard]] std::size_t count() const { return m_open.size(); }

private:
    struct OpenWorker
    {
        ImageSet images = 0;
        Timestamp since;
        /// First and last failed try since a task was moved away.
        std::optional<Timestamp> failingSince;
        std::optional<Timestamp> lastFailure;
        /// Start of the time for which it is unusable.
        Timestamp suspendedAt;
    };
    /// Worker that was closed since its tasks could not leave.
    struct StuckWorker
    {
        /// Millicores of the tasks that were to leave and were not allowed to.
        std::int64_t pinned = 0;
        Timestamp closedAt;
    };
    /// Serving tasks of the fleet that exclude the same images.
    struct ServingClass
    {
        ImageSet excluded = 0;
        Room room;
    };
    /// Bounds on open workers.
    struct Limit
    {
        /// Total capacity of the open workers.
        Room capacity;
        /// Number of open workers.
        std::size_t workers = 0;
    };
    /// Images that share open workers, since the same serving tasks bear them.
    struct Group
    {
        ImageSet images = 0;
        /// Millicores that the images ask for.
        std::int64_t demand = 0;
        /// Millicores reserved by the serving tasks that bear all images of the group.
        std::int64_t bearing = 0;
        bool isBlocked = false;
        /// Bounds on its open workers when one is opened, and above which some are closed.
        Limit openLimit;
        Limit closeLimit;
        /// Part of the open capacity for the group while others are blocked too, in millicores.
        std::int64_t share = 0;
        /// Its open workers at the start of a plan, and their capacity and number in its course.
        std::vector<const WorkerView *> open;
        Room capacity;
        std::size_t workers = 0;
        /// Millicores that its images may use there.
        std::int64_t supplied = 0;
    };
    /// Sums over the usable workers and over the tasks of a view.
    struct Totals
    {
        Room capacity;
        std::size_t usable = 0;
        /// The least that a usable worker has of each resource.
        Room smallest;
        /// Millicores reserved by tasks that do not serve.
        std::int64_t otherMillicores = 0;
        std::vector<ServingClass> classes;
        /// Number of workers that the tasks of a step need at least, for those with a limit.
        std::vector<std::pair<ImageSet, std::size_t>> spreadSteps;
    };

    [[nodiscard]] static Totals sum(const FleetView &fleet);
    /// Bounds on the workers open to one of the groups, so that the tasks which none of these
    /// workers bears fit on the others.
    [[nodiscard]] Limit limitOf(const Totals &totals, std::span<const ImageSet> groups,
                                std::int64_t fillPercent) const;
    /// Images of the groups that have open workers, and of the given one.
    [[nodiscard]] static std::vector<ImageSet> openGroups(std::span<const Group> groups,
                                                          const Group &with);
    /// Expresses the images of the last view as bits of this one.
    void renumber(const FleetView &fleet);
    /// Suspends open workers that are unusable, and resumes those that are usable again; forgets
    /// workers that have left.
    void suspendUnusable(Timestamp now, const FleetView &fleet);
    /// Closes the workers whose images are in demand no more.
    void dropUnwanted(Timestamp now);
    [[nodiscard]] std::vector<Group> findGroups(const FleetView &fleet, const Totals &totals);
    void assign(Timestamp now, const FleetView &fleet, std::span<Group> groups);
    /// Closes workers of a group; returns whether there were any.
    /// @param[in] limit bound on all open workers
    /// @param[in] isOtherLacking another group has less than its share
    bool closeWorkers(Timestamp now, Group *group, const Limit &limit, bool isOtherLacking);
    /// Opens workers for a group.
    /// @param[in] limit bound on all open workers
    /// @param[in] isShared other groups are blocked too
    void openWorkers(Timestamp now, const FleetView &fleet, const Totals &totals, Group *group,
                     const Limit &limit, bool isShared);
    void close(Timestamp now, const WorkerView &worker, Group *group);
    /// None of the tasks that are to leave the worker has left for stuckAfter.
    [[nodiscard]] bool isStuck(Timestamp now, std::uint32_t worker) const;
    [[nodiscard]] bool mayOpen(Timestamp now, const WorkerView &worker, const Group &group) const;
    /// Millicores that the images of the group may use on a worker that is open to them.
    [[nodiscard]] std::int64_t supply(Timestamp now, const WorkerView &worker,
                                      const Group &group) const;

    RelocationSettings m_settings;
    std::map<std::uint32_t, OpenWorker> m_open;
    /// Workers that were open and are unusable for a moment.
    std::map<std::uint32_t, OpenWorker> m_suspended;
    std::map<std::uint32_t, Timestamp> m_closedAt;
    std::map<std::uint32_t, StuckWorker> m_stuck;
    /// Ids of the images of the last view, by bit.
    std::vector<std::uint32_t> m_imageIds;
    /// Images of each group of the last plan.
    std::vector<ImageSet> m_groups;
    /// Capacity of all open workers.
    Room m_capacity;
};

} // namespace acaciafork::relocation
