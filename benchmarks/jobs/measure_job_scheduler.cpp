/// Processor time of the job scheduler over the size of the fleet, in virtual time.

#include <cstdio>
#include <cstdlib>

#include "benchmarks/jobs/SimulatedFleet.h"

namespace {

using namespace acaciafork;
using namespace acaciafork::jobs;

void measure(std::size_t workers, double load, bool cautious = false)
{
    const FleetOptions options { .workers = workers, .load = load, .cautiousBackfill = cautious };
    const FleetResult result = SimulatedFleet(options).run();
    const double seconds = std::chrono::duration<double>(options.length).count();
    const auto wait = [&](double quantile) {
        if (result.waits.empty())
            return 0.0;
        const auto last = static_cast<double>(result.waits.size() - 1);
        return std::chrono::duration<double, std::milli>(
                       result.waits[static_cast<std::size_t>(last * quantile)])
                .count();
    };
    std::printf("%8zu %6.2f %9.3f %12.2f %10.0f %11.0f %8.0f %10.1f %10.1f\n", workers, load,
                std::chrono::duration<double>(result.schedulerTime).count() / seconds,
                std::chrono::duration<double, std::milli>(result.longestTurn).count(),
                static_cast<double>(result.starts) / seconds,
                static_cast<double>(result.renewals) / seconds,
                static_cast<double>(result.jobsCompleted) / seconds, wait(0.5), wait(0.99));
}

} // namespace

int main(int argc, char **argv)
{
    std::printf("%8s %6s %9s %12s %10s %11s %8s %10s %10s\n", "workers", "load", "cores",
                "longest-ms", "starts/s", "renewals/s", "jobs/s", "wait-p50", "wait-p99");
    if (argc > 1) {
        measure(static_cast<std::size_t>(std::atoll(argv[1])), argc > 2 ? std::atof(argv[2]) : 1,
                argc > 3);
        return 0;
    }
    for (const std::size_t it : { 66U, 190U, 490U, 1800U, 8200U })
        measure(it, 1);
    // More work than the fleet can do: tasks wait in every round.
    measure(1800, 3);
    return 0;
}
