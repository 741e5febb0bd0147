#include "acaciafork/decisions/jobs/Types.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

#include "acaciafork/decisions/jobs/Commands.h"

namespace acaciafork::jobs {

std::uint64_t orderToken(Tenure tenure, const OrderTarget &target)
{
    return tenure.value * livesPerTenure + std::min<std::uint64_t>(target.life, livesPerTenure - 1);
}

std::string taskName(const TaskKey &task)
{
    return fmt::format("{:016x}.{}.{}.{}", task.job.value, task.occurrence, task.step, task.task);
}

std::vector<Duration> JobSpec::remainingPaths() const
{
    // Steps depend only on earlier ones: in reverse order, the successors of a step are processed
    // before it.
    std::vector<Duration> paths(steps.size());
    for (std::size_t i = steps.size(); i-- > 0;) {
        paths[i] += steps[i].estimate;
        for (const std::uint32_t it : steps[i].after)
            paths[it] = std::max(paths[it], paths[i]);
    }
    return paths;
}

std::uint32_t JobSpec::tasks() const
{
    std::uint32_t n = 0;
    for (const StepSpec &it : steps)
        n += it.count;
    return n;
}

Duration JobSpec::criticalPath() const
{
    const std::vector<Duration> paths = remainingPaths();
    return paths.empty() ? Duration {} : *std::ranges::max_element(paths);
}

std::string_view runEndName(RunEnd end)
{
    static constexpr std::array<std::string_view, 6> names { "done",   "failed", "stopped",
                                                             "lapsed", "broken", "alone" };
    return names.at(static_cast<std::size_t>(end));
}

std::string_view orderOutcomeName(OrderOutcome outcome)
{
    static constexpr std::array<std::string_view, 11> names {
        "done",    "unanswered",  "not-sent",  "fenced",     "old-run", "late",
        "no-room", "not-healthy", "no-permit", "other-life", "refused"
    };
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace acaciafork::jobs
