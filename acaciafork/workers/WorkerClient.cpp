#include "acaciafork/workers/WorkerClient.h"

#include <array>
#include <utility>

namespace acaciafork::workers {

namespace {

constexpr std::array<std::string_view, 6> outcomeNames {
    "done", "fenced", "not-known", "refused", "not-reached", "unclear",
};

CommandOutcome outcomeOfStatus(int status)
{
    switch (status) {
    case 200:
        return CommandOutcome::Done;
    case 409:
        return CommandOutcome::Fenced;
    case 404:
        return CommandOutcome::NotKnown;
    default:
        return status >= 400 && status < 500 ? CommandOutcome::Refused : CommandOutcome::Unclear;
    }
}

} // namespace

std::string_view commandOutcomeName(CommandOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

WorkerClient::WorkerClient(net::Loop &loop, WorkerClientSettings settings)
    : m_settings(settings)
    , m_client(loop, settings.client)
{ }

void WorkerClient::send(const net::Address &worker, const WorkerCommand &command,
                        std::function<void(const CommandReply &)> fn)
{
    const std::string target = "/tasks/" + command.task.value;
    const std::string body = encodeWorkerCommand(command);
    const net::Header type { .name = "content-type", .value = "application/json" };
    m_client.call({ .address = worker,
                    .method = "PUT",
                    .target = target,
                    .headers = { &type, 1 },
                    .body = body,
                    .timeout = m_settings.commandTimeout },
                  [command, fn = std::move(fn)](const net::HttpReply &http) {
                      fn(decodeCommandReply(command, http));
                  });
}

CommandReply decodeCommandReply(const WorkerCommand &command, const net::HttpReply &http)
{
    CommandReply reply { .task = command.task, .action = command.action, .epoch = command.epoch };
    if (http.end.failure) {
        const bool isUnsent = http.end.phase == net::CallPhase::NotConnected;
        reply.outcome = isUnsent ? CommandOutcome::NotReached : CommandOutcome::Unclear;
        reply.detail = http.end.failure->detail;
        return reply;
    }
    reply.outcome = outcomeOfStatus(http.status);
    if (reply.outcome != CommandOutcome::Done && reply.outcome != CommandOutcome::Fenced) {
        reply.detail = http.body;
        return reply;
    }
    // A worker that answers without a readable task has still said what it did.
    leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(reply.report, decodeTaskReport(http.body));
                return {};
            },
            [&](const Failure &failure) { reply.detail = failure.detail; },
            [&] { reply.detail = "task not readable"; });
    return reply;
}

} // namespace acaciafork::workers
