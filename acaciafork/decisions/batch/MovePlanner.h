#pragma once

#include <vector>

#include "acaciafork/decisions/batch/Fleet.h"

namespace acaciafork::batch {

/// Order in which the racks of a building are drained.
struct MovePlan
{
    std::vector<RackName> steps;
    /// Resources that the destination lacks to hold all work of the building; zero when it has
    /// enough now.
    Resources shortage;
};

/// Orders the racks of a building for a move. Racks with the least work come first: they retire
/// early, and measurements such as drain times are available before the large ones are drained.
class MovePlanner
{
public:
    explicit MovePlanner(const Fleet *fleet);

    /// Plans the move of all work from one building to another.
    [[nodiscard]] MovePlan plan(const BuildingName &from, const BuildingName &to) const;

private:
    [[nodiscard]] Resources granted(const Rack &rack) const;
    [[nodiscard]] Resources freeRoom(const Rack &rack) const;

    const Fleet *m_fleet;
};

} // namespace acaciafork::batch
