#pragma once

#include <variant>

#include "acaciafork/decisions/batch/Records.h"

namespace acaciafork::batch {

/// This control member became leader; carries the committed state. First event of a scheduler.
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

/// A worker sent its periodic report.
struct WorkerReported
{
    WorkerReport report;
};

/// A worker reported the resource usage of its tasks.
struct UsageReported
{
    UsageReport report;
};

/// A proposed change is committed.
struct CommandCommitted
{
    ProposalId proposal;
};

/// A proposed change was rejected by the replicated state or never entered the log.
struct CommandRejected
{
    ProposalId proposal;
};

/// A worker call was answered, failed or timed out.
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

/// The endpoint of a service task has warmed up and receives its full share of traffic.
struct EndpointWarm
{
    TaskName task;
};

/// The endpoint of a service task has left and has no requests in progress.
struct EndpointDrained
{
    TaskName task;
};

/// Periodic timer event. The driver sends it at a fixed interval.
struct Tick
{ };

/// Any event that the scheduler handles.
using Event = std::variant<StateRestored, TaskSubmitted, TaskCancelled, WorkerReported,
                           UsageReported, CommandCommitted, CommandRejected, WorkerCallAnswered,
                           RackChanged, PlacementChanged, TeamChanged, MoveChanged, EndpointWarm,
                           EndpointDrained, Tick>;

} // namespace acaciafork::batch
