#include "acaciafork/operators/ZoneSummary.h"

namespace acaciafork::operators {

std::map<std::string, ZoneSummary, std::less<>> summarizeZones(const Context &context)
{
    std::map<std::string, ZoneSummary, std::less<>> zones;
    for (const ZoneName &it : context.live.zones())
        zones.try_emplace(std::string(it.view()));
    for (const auto &[name, worker] : context.machine.workers().all()) {
        if (!worker.zone().empty())
            ++zones[worker.zone()].workers;
    }
    for (const auto &[name, closure] : context.machine.closedZones().all())
        zones[name].closure = &closure;
    return zones;
}

} // namespace acaciafork::operators
