#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Fleet.h"

namespace acaciafork::batch {

/// Order in which the racks of a building are emptied.
struct MovePlan
{
    std::vector<RackName> steps;
    /// What the destination lacks for all work of the building; zero when it has room now.
    Resources shortage;
};

/// Orders the racks of a building for a move: those with the least work first, so that racks retire
/// early and what is learned from them serves the large ones.
class MovePlanner
{
public:
    explicit MovePlanner(const Fleet *fleet);

    /// Plan for moving all work from one building to the other.
    [[nodiscard]] MovePlan plan(const BuildingName &from, const BuildingName &to) const;

private:
    [[nodiscard]] Resources granted(const Rack &rack) const;
    [[nodiscard]] Resources freeRoom(const Rack &rack) const;

    const Fleet *m_fleet;
};

} // namespace acaciafork::batch
