#include "benchmarks/batch/fakes/World.h"

namespace acaciafork::batch::fakes {

const TaskTruth *World::truth(const TaskName &task) const
{
    if (const auto it = truths.find(task); it != truths.end())
        return &it->second;
    const auto it = serviceTruths.find(task.value.substr(0, task.value.find('#')));
    return it == serviceTruths.end() ? nullptr : &it->second;
}

std::int32_t World::disturbance(std::uint32_t victim, std::uint32_t aggressor) const
{
    if (victim >= disturbancePermille.size() || aggressor >= disturbancePermille[victim].size())
        return 0;
    return disturbancePermille[victim][aggressor];
}

} // namespace acaciafork::batch::fakes
