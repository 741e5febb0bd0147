#pragma once

#include <variant>

#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// The member became leader: the committed state to start from. The first event of a scheduler.
struct StateRestored
{
    RestoredState state;
};

/// A job's submission is committed.
struct TaskSubmitted
{
    JobRecord job;
};

/// A job's cancellation is committed.
struct TaskCancelled
{
    TaskName task;
};

/// A worker reported itself.
struct WorkerReported
{
    WorkerReport report;
};

/// A worker reported the use of its tasks.
struct UsageReported
{
    UsageReport report;
};

/// A proposed change is committed.
struct CommandCommitted
{
    ProposalId proposal;
};

/// A proposed change was refused by the replicated state or never entered the log.
struct CommandRejected
{
    ProposalId proposal;
};

/// A worker call ended.
struct WorkerCallAnswered
{
    CallId call;
    CallAnswer answer = CallAnswer::Ok;
};

/// A rack's record changed, by an operator or by a committed proposal.
struct RackChanged
{
    RackRecord rack;
};

/// A placement's record changed.
struct PlacementChanged
{
    PlacementRecord placement;
};

/// A team's record changed.
struct TeamChanged
{
    TeamRecord team;
};

/// The move's record changed.
struct MoveChanged
{
    MoveRecord move;
};

/// The endpoint of a service task takes full traffic.
struct EndpointWarm
{
    TaskName task;
};

/// The endpoint of a service task has left and has no request in progress.
struct EndpointDrained
{
    TaskName task;
};

/// Time passed. Wanted every SchedulerSettings::tickInterval.
struct Tick
{ };

/// Anything that the scheduler is told.
using Event = std::variant<StateRestored, TaskSubmitted, TaskCancelled, WorkerReported,
                           UsageReported, CommandCommitted, CommandRejected, WorkerCallAnswered,
                           RackChanged, PlacementChanged, TeamChanged, MoveChanged, EndpointWarm,
                           EndpointDrained, Tick>;

} // namespace acaciafork::batch
