#pragma once

#include <map>
#include <set>
#include <span>

#include "acaciafork/decisions/relocation/Relocation.h"

namespace acaciafork::relocation {

/// Workers and serving tasks that carry out the moves of a planner under test.
class RelocationFleet
{
public:
    /// Time between two plans.
    static constexpr Duration planInterval = std::chrono::milliseconds(400);

    explicit RelocationFleet(const RelocationSettings &settings = {})
        : planner(settings)
        , m_settings(settings)
    { }

    WorkerView &addWorker(const Room &capacity);
    /// Adds a task of the given step to a worker; its number is returned.
    std::uint32_t addTask(WorkerView *worker, std::uint32_t step, const Room &room,
                          ImageSet excluded, std::uint32_t maxPerWorker = 0);
    /// Adds demand for an image with the next number.
    ImageDemand &addImage(std::int64_t millicores, bool isBlocked = true);

    /// Plans once, checks what any plan has to meet, and carries the moves out.
    std::vector<Relocation> step();
    /// Plans until there have been no moves for a while; returns the number of moves, or none if
    /// moves go on.
    std::optional<std::size_t> settle(std::size_t maxPlans = 2000);

    /// Numbers of the open workers.
    [[nodiscard]] std::set<std::uint32_t> open() const;
    /// Capacity of the open workers whose tasks all bear the images they are open to.
    [[nodiscard]] std::int64_t clearMillicores() const;

    /// Time from the order of a move to the start at the new worker. Meanwhile the task is at the
    /// old one and may not move, and its room at the new one is held.
    Duration moveTime {};
    RelocationPlanner planner;
    FleetView view;
    Timestamp now = timestampFromMicroseconds(1'000'000);

private:
    struct PendingMove
    {
        Relocation move;
        Timestamp endsAt;
    };

    void check(std::span<const Relocation> moves) const;
    void endMoves();
    void beginMove(const Relocation &move);
    void endMove(const Relocation &move);

    RelocationSettings m_settings;
    std::uint32_t m_nextTask = 0;
    std::vector<PendingMove> m_pending;
    std::map<std::uint32_t, Timestamp> m_startedAt;
};

} // namespace acaciafork::relocation
