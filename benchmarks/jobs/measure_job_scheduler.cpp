/// Processor time of the job scheduler over the size of the fleet, in virtual time; and with
/// `backlog` what jobs cost that wait: `backlog JOBS STEPS TASKS OCCURRENCES [due]`, or a table.

#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "benchmarks/jobs/BacklogRun.h"
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

void measure(const BacklogOptions &options)
{
    const BacklogResult result = runBacklog(options);
    const auto ms = [](Duration it) {
        return std::chrono::duration<double, std::milli>(it).count();
    };
    const auto jobs = static_cast<double>(options.jobs);
    std::printf("%6zu %6u %7u %12u %4s %9.2f %12.0f %10.2f %9.2f %10.2f\n", options.jobs,
                options.steps, options.tasks, options.occurrences, options.isDue ? "yes" : "no",
                static_cast<double>(result.bytes) / 1e6, static_cast<double>(result.bytes) / jobs,
                ms(result.longestCall), ms(result.begin), ms(result.longestCallAfterBegin));
}

int measureBacklogs(int argc, char **argv)
{
    std::printf("%6s %6s %7s %12s %4s %9s %12s %10s %9s %10s\n", "jobs", "steps", "tasks",
                "occurrences", "due", "MB", "bytes/job", "longest-ms", "begin-ms", "longest-ms");
    if (argc > 5) {
        const auto number = [&](int i) { return static_cast<std::uint32_t>(std::atoll(argv[i])); };
        measure({ .jobs = number(2),
                  .steps = number(3),
                  .tasks = number(4),
                  .occurrences = number(5),
                  .isDue = argc > 6 });
        return 0;
    }
    for (const std::size_t it : { 8U, 100U, 1000U, 10'000U })
        measure({ .jobs = it });
    measure({ .jobs = 8, .isDue = true });
    measure({ .jobs = 160, .occurrences = 120, .isDue = true });
    measure({ .jobs = 1, .steps = 1, .tasks = 90'000, .occurrences = 0 });
    measure({ .jobs = 12, .steps = 1, .tasks = 90'000, .occurrences = 0 });
    measure({ .jobs = 1000, .steps = 2, .tasks = 30, .occurrences = 0 });
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "backlog")
        return measureBacklogs(argc, argv);
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
