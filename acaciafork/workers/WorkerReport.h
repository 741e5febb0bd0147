#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Failure.h"
#include "acaciafork/core/Ids.h"
#include "acaciafork/core/Time.h"
#include "acaciafork/net/Address.h"

namespace acaciafork::workers {

/// What a worker says about a task.
enum class TaskStatus : std::uint8_t {
    Running,
    Throttled,
    Checkpointing,
    Checkpointed, ///< stopped; the report carries its checkpoint
    Stopped, ///< stopped without a checkpoint
    Finished,
    Failed,
};

/// Stable lower-case name of a status, such as "running".
std::string_view taskStatusName(TaskStatus status);

/// One task as a worker reports it.
struct TaskReport
{
    TaskName task;
    LeaseEpoch epoch;
    TaskStatus status = TaskStatus::Running;
    /// Checkpoint that the task can resume from; empty for none.
    std::string checkpoint;
};

/// One report: `PUT /acaciafork/v1/workers/<id>`. Reports are late and may repeat or cross.
struct WorkerReport
{
    WorkerName worker;
    /// Grows with each start of the worker.
    Incarnation incarnation;
    /// Grows with each report of an incarnation.
    std::uint64_t sequence = 0;
    RackName rack;
    BuildingName building;
    ZoneName zone;
    /// Processors, in thousandths of a core.
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    /// Where the worker takes commands.
    net::Address address;
    std::vector<TaskReport> tasks;
};

/// What one task used over the time that a usage report tells of.
struct TaskUsage
{
    TaskName task;
    LeaseEpoch epoch;
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    /// Speed against running alone, in thousandths; below 1000 others disturb it.
    std::int64_t speedPerMille = 1'000;
};

/// One usage report: `POST /acaciafork/v1/workers/<id>/usage`. It lags behind what it tells of.
struct UsageReport
{
    WorkerName worker;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    /// How long ago the time that it tells of ended, as the worker measured it.
    Duration lag = Duration::zero();
    /// How long that time was.
    Duration window = Duration::zero();
    std::vector<TaskUsage> tasks;
};

/// Decodes a worker's report.
/// @param[in] worker the id in the path
/// Fails with Failure InvalidArgument that names the field at fault.
Result<WorkerReport> decodeWorkerReport(std::string_view worker, std::string_view json);

/// Decodes a usage report; fails as decodeWorkerReport().
Result<UsageReport> decodeUsageReport(std::string_view worker, std::string_view json);

/// Decodes one task, as a worker answers a command; fails as decodeWorkerReport().
Result<TaskReport> decodeTaskReport(std::string_view json);

/// Encodes one task as the body of the answer to a command.
std::string encodeTaskReport(const TaskReport &report);

/// Encodes a worker's report as its body.
std::string encodeWorkerReport(const WorkerReport &report);

/// Encodes a usage report as its body.
std::string encodeUsageReport(const UsageReport &report);

} // namespace acaciafork::workers
