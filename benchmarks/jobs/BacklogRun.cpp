#include "benchmarks/jobs/BacklogRun.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include <malloc.h>

#include "acaciafork/decisions/jobs/Jobs.h"

namespace acaciafork::jobs {
namespace {

using namespace std::chrono_literals;

const QueueSpec queue { .name = "queue", .pool = "pool", .maxAttempts = 3, .objective = 1s };

std::size_t heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

template <typename Fn>
Duration timeOf(const Fn &fn)
{
    const auto before = std::chrono::steady_clock::now();
    fn();
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - before);
}

/// Lets five seconds pass, with the logs that the scheduler writes every two; returns the longest
/// call.
Duration letPass(JobScheduler *scheduler, Moment *at)
{
    Duration longest {};
    for (Duration passed {}; passed < 5s; passed += 10ms) {
        at->now += 10ms;
        at->wallMicroseconds += 10'000;
        longest = std::max(longest, timeOf([&] { scheduler->tick(*at); }));
        longest = std::max(longest, timeOf([&] { (void)scheduler->takeCommands(*at); }));
    }
    return longest;
}

std::shared_ptr<const JobSpec> specOf(const BacklogOptions &options, std::int64_t wallUs)
{
    auto spec = std::make_shared<JobSpec>();
    for (std::uint32_t it = 0; it < options.steps; ++it) {
        StepSpec step { .count = options.tasks,
                        .size = { .millicores = 500, .memoryMb = 512 },
                        .estimate = 500ms };
        if (it > 0)
            step.after.push_back(it - 1);
        spec->steps.push_back(step);
    }
    spec->isScheduled = options.occurrences > 0;
    if (spec->isScheduled)
        spec->schedule = { .firstUs = wallUs + (options.isDue ? -1 : 1) * 86'400'000'000,
                           .interval = options.isDue ? Duration(1) : Duration(60s),
                           .times = options.occurrences };
    return spec;
}

} // namespace

BacklogResult runBacklog(const BacklogOptions &options)
{
    BacklogResult result;
    Moment at { timestampFromMicroseconds(10'000'000), 1'700'000'000'000'000 };
    std::vector<JobView> views;
    const std::size_t before = heapInUse();
    {
        JobScheduler scheduler;
        scheduler.begin(at, { 1 }, { &queue, 1 }, {}, {});
        for (std::uint64_t id = 1; id <= options.jobs; ++id) {
            const JobView view { .id = { id },
                                 .queue = queue,
                                 .spec = specOf(options, at.wallMicroseconds),
                                 .submittedUs = at.wallMicroseconds };
            result.longestCall =
                    std::max(result.longestCall, timeOf([&] { scheduler.jobAccepted(at, view); }));
        }
        result.longestCall = std::max(result.longestCall, letPass(&scheduler, &at));
        result.bytes = heapInUse() - before;
    }
    for (std::uint64_t id = 1; id <= options.jobs; ++id)
        views.push_back({ .id = { id },
                          .queue = queue,
                          .spec = specOf(options, at.wallMicroseconds),
                          .submittedUs = at.wallMicroseconds });
    JobScheduler next;
    result.begin = timeOf([&] { next.begin(at, { 2 }, { &queue, 1 }, views, {}); });
    result.longestCallAfterBegin = letPass(&next, &at);
    return result;
}

} // namespace acaciafork::jobs
