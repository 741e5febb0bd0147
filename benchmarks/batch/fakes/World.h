#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "benchmarks/batch/fakes/Audit.h"

namespace acaciafork::batch::fakes {

class FakeWorker;

/// Service that a replica's task `@service/position` belongs to; other tasks give an empty name.
inline std::string serviceOf(const TaskName &task)
{
    const std::size_t slash = task.value.find('/');
    const bool isReplica = task.value.starts_with('@') && slash != std::string::npos;
    return isReplica ? task.value.substr(1, slash - 1) : std::string();
}

/// What a task is really like; the scheduler is never told.
struct TaskTruth
{
    /// Run time alone and unthrottled; service tasks run for ever.
    Duration work {};
    /// What it uses when nothing holds it back.
    Resources used;
    /// Fails this long after each start; zero never.
    Duration failsAfter {};
    TaskFailureCause cause = TaskFailureCause::ExitCode;
    /// Time that a checkpoint takes when one is asked for.
    Duration checkpointTime = std::chrono::seconds(5);
    /// It saves its progress by itself this often; zero never.
    Duration checkpointEvery = std::chrono::minutes(2);
    /// Row and column in the table of disturbance.
    std::uint32_t kind = 0;
    bool service = false;
};

/// The truth about tasks, which only workers and auditors see.
struct World
{
    std::unordered_map<TaskName, TaskTruth> truths;
    /// Truth of tasks that are not in `truths`, such as those of services, by service.
    std::unordered_map<std::string, TaskTruth> serviceTruths;
    /// Work done by checkpoint of each task.
    std::unordered_map<TaskName, std::map<std::uint64_t, Duration>> checkpoints;
    /// Slowdown in thousandths that one neighbour of kind `column` causes to kind `row`.
    std::vector<std::vector<std::int32_t>> disturbancePermille;
    /// Work of batch tasks that came to their end, in microseconds of one millicore.
    double finishedWork = 0;
    /// Worker that began to run each task last; brought up to date before the next start is judged.
    std::unordered_map<TaskName, FakeWorker *> runners;
    Audit audit;

    /// Truth about a task, or nullptr.
    [[nodiscard]] const TaskTruth *truth(const TaskName &task) const;
    /// Slowdown that one neighbour causes, in thousandths.
    [[nodiscard]] std::int32_t disturbance(std::uint32_t victim, std::uint32_t aggressor) const;
};

} // namespace acaciafork::batch::fakes
