// Measures the move of a full building into one with two thirds of its room, beside a baseline that
// empties racks in turn, and the bound set by room and checkpoint time.

#include <cstdio>

#include "benchmarks/batch/MoveRun.h"

using namespace acaciafork::batch::fakes;

namespace {

void print(const char *name, std::uint64_t seed, const MoveFigures &it)
{
    std::printf("%-22s seed %llu  %.1f min, bound %.1f min (%.2fx)  evictions %llu  standstill "
                "%.1f h  warm replicas "
                "at least %u of %u  violations %llu  retired in use %llu  finished %llu  "
                "projection held in %d of %d\n",
                name, static_cast<unsigned long long>(seed), it.minutes, it.boundMinutes,
                it.minutes / it.boundMinutes, static_cast<unsigned long long>(it.evictions),
                it.standstillHours, it.leastWarm, it.wanted,
                static_cast<unsigned long long>(it.violations),
                static_cast<unsigned long long>(it.retiredInUse),
                static_cast<unsigned long long>(it.finished), it.projectionsHeld, it.projections);
    std::fflush(stdout);
}

} // namespace

int main()
{
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        print("acaciafork", seed, runMove({ .seed = seed }));
        print("racks in turn", seed, runMove({ .seed = seed, .baseline = true }));
        print("acaciafork, arrivals", seed, runMove({ .seed = seed, .arrivals = true }));
        print("racks in turn, arriv.", seed,
              runMove({ .seed = seed, .arrivals = true, .baseline = true }));
        print("acaciafork, faults", seed,
              runMove({ .seed = seed, .arrivals = true, .faults = true }));
    }
    return 0;
}
