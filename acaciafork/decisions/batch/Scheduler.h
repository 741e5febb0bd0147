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

/// What a team or an operator may ask about a task that has not ended.
struct TaskView
{
    bool known = false;
    TaskPhase phase = TaskPhase::Queued;
    WorkerName worker;
    LeaseEpoch epoch;
    CheckpointId checkpoint;
    std::uint32_t failures = 0;
};

/// A rack as operators see it.
struct RackView
{
    RackRecord record;
    std::uint32_t workers = 0;
    std::uint32_t presentWorkers = 0;
    std::uint32_t tasks = 0;
    bool draining = false;
};

/// Numbers of the whole.
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

/// Decides where batch jobs and service tasks run. One object lives from the moment at which a
/// control member becomes leader until it stops being so; the first event is StateRestored.
///
/// The driver carries out commands only while it surely is the leader (its read lease holds), so
/// that a deposed leader acts for at most LeaseSettings::deposedLeaderOverlap.
class Scheduler
{
public:
    explicit Scheduler(const SchedulerSettings &settings);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// Takes one event.
    /// @param[in] now never less than at the last call
    /// @param[out] commands what is to be done is appended
    void handle(Timestamp now, const Event &event, std::vector<Command> *commands);

    /// How a task stands; `known` is false for one that has ended or never was.
    [[nodiscard]] TaskView task(const TaskName &name) const;
    /// Every rack.
    [[nodiscard]] std::vector<RackView> racks() const;
    /// Numbers of the whole.
    [[nodiscard]] SchedulerSummary summary() const;
    /// The move as it stands, with its projected finish and what is in its way.
    [[nodiscard]] MoveView move() const;
    /// Plan for moving all work from one building to another, for operators to start.
    [[nodiscard]] MovePlan planMove(const BuildingName &from, const BuildingName &to) const;
    /// What was counted since the start.
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
