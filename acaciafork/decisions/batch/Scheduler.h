#pragma once

#include <memory>
#include <vector>

#include "acaciafork/decisions/batch/Commands.h"
#include "acaciafork/decisions/batch/Events.h"
#include "acaciafork/decisions/batch/MovePlanner.h"
#include "acaciafork/decisions/batch/MoveView.h"
#include "acaciafork/decisions/batch/SchedulerCounters.h"
#include "acaciafork/decisions/batch/Settings.h"

namespace acaciafork::batch {

struct Model;

/// Status of a task that has not ended, for teams and operators.
struct TaskView
{
    bool known = false;
    TaskPhase phase = TaskPhase::Queued;
    WorkerName worker;
    LeaseEpoch epoch;
    CheckpointId checkpoint;
    std::uint32_t failures = 0;
};

/// Status of a rack, for operators.
struct RackView
{
    RackRecord record;
    std::uint32_t workers = 0;
    std::uint32_t presentWorkers = 0;
    std::uint32_t tasks = 0;
    bool draining = false;
};

/// Totals over all tasks and workers.
struct SchedulerSummary
{
    std::size_t tasks = 0;
    std::size_t waiting = 0;
    std::uint32_t workers = 0;
    std::uint32_t presentWorkers = 0;
    Resources room;
    Resources granted;
    std::size_t proposalsPending = 0;
};

/// Decides where batch jobs and service tasks run. An object exists from when a control member
/// becomes leader until it loses leadership; its first event is StateRestored.
///
/// The driver executes commands only while its read lease proves that it is the leader, so that a
/// deposed leader acts for at most LeaseSettings::deposedLeaderOverlap.
class Scheduler
{
public:
    explicit Scheduler(const SchedulerSettings &settings);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// Handles one event.
    /// @param[in] now current time; must not decrease between calls
    /// @param[out] commands vector to which the resulting commands are appended
    void handle(Timestamp now, const Event &event, std::vector<Command> *commands);

    /// Status of a task; `known` is false when the task has ended or never existed.
    [[nodiscard]] TaskView task(const TaskName &name) const;
    /// Status of every rack.
    [[nodiscard]] std::vector<RackView> racks() const;
    /// Totals over all tasks and workers.
    [[nodiscard]] SchedulerSummary summary() const;
    /// Status of the move, with its projected finish and the tasks that delay it.
    [[nodiscard]] MoveView move() const;
    /// Plan for moving all work from one building to another, which an operator can start.
    [[nodiscard]] MovePlan planMove(const BuildingName &from, const BuildingName &to) const;
    /// Counters since this scheduler was created.
    [[nodiscard]] const SchedulerCounters &counters() const;

private:
    struct Components;

    void on(const StateRestored &event);
    void on(const TaskSubmitted &event);
    void on(const TaskCancelled &event);
    void on(const WorkerReported &event);
    void on(const UsageReported &event);
    void on(const CommandCommitted &event);
    void on(const CommandRejected &event);
    void on(const WorkerCallAnswered &event);
    void on(const RackChanged &event);
    void on(const PlacementChanged &event);
    void on(const TeamChanged &event);
    void on(const MoveChanged &event);
    void on(const EndpointWarm &event);
    void on(const EndpointDrained &event);
    void on(const Tick &event);

    std::unique_ptr<Components> m_components;
};

} // namespace acaciafork::batch
