#pragma once

#include <functional>
#include <optional>
#include <string>

#include "acaciafork/net/Net.h"
#include "acaciafork/workers/WorkerCommand.h"
#include "acaciafork/workers/WorkerReport.h"

namespace acaciafork::workers {

/// What a worker answered to a command.
enum class CommandOutcome : std::uint8_t {
    Done, ///< the worker has taken it; its reports tell of the task from here on
    Fenced, ///< the worker knows a higher epoch of the task; nothing was done
    NotKnown, ///< the worker does not have the task; nothing was done
    Refused, ///< the worker cannot do it, by lack of room or a bad payload; nothing was done
    NotReached, ///< no byte has left; nothing was done
    Unclear, ///< sent, and no whole answer came; done or not
};

/// Stable lower-case name of an outcome, such as "done".
std::string_view commandOutcomeName(CommandOutcome outcome);

/// A worker's answer to one command.
struct CommandReply
{
    TaskName task;
    WorkerAction action = WorkerAction::Start;
    LeaseEpoch epoch;
    CommandOutcome outcome = CommandOutcome::Unclear;
    /// The task as the worker answered it; present for Done and Fenced where the worker tells.
    std::optional<TaskReport> report;
    std::string detail;
};

/// Settings of the calls to workers.
struct WorkerClientSettings
{
    net::HttpClientSettings client;
    /// Longest time for a worker to answer a command.
    Duration commandTimeout = std::chrono::seconds(3);
};

/// Sends commands to workers.
class WorkerClient
{
public:
    WorkerClient(net::Loop &loop, WorkerClientSettings settings);

    /// Sends a command; `fn` is called once with what became of it.
    void send(const net::Address &worker, const WorkerCommand &command,
              std::function<void(const CommandReply &)> fn);

    /// Closes idle connections to a worker that is gone.
    void forget(const net::Address &worker) { m_client.forget(worker); }

private:
    WorkerClientSettings m_settings;
    net::HttpClient m_client;
};

/// Answer of a worker to a command, from status and body.
CommandReply decodeCommandReply(const WorkerCommand &command, const net::HttpReply &http);

} // namespace acaciafork::workers
