#pragma once

#include <doctest/doctest.h>

#include <string>

#include "acaciafork/operators/Operators.h"
#include "acaciafork/state/State.h"

namespace acaciafork::operators {

/// Live views of a small fleet.
class FakeViews final : public LiveViews
{
public:
    FakeViews()
        : m_timeline(ProcessId { 1 }, 16)
    {
        m_timeline.record(5, EventKind::LeaderElected, "1");
        m_counters.counter("commits_total").add(7);
    }

    ClusterView cluster() const override { return { .cluster = "test", .leader = { 1 } }; }
    std::vector<ProcessView> processes() const override
    {
        return { { .id = { 9 }, .role = "entry", .state = "ready", .config = { 1 } } };
    }
    std::vector<MemberView> members() const override { return { { .id = { 1 } } }; }
    std::vector<EndpointView> endpoints() const override { return { { .name = { "e1" } } }; }
    std::vector<WorkerView> workers() const override { return { { .name = { "w1" } } }; }
    std::vector<ZoneName> zones() const override { return { { "c" } }; }
    std::optional<MoveProjection> moveProjection() const override { return std::nullopt; }
    const Timeline &timeline() const override { return m_timeline; }
    const CounterRegistry &counters() const override { return m_counters; }

private:
    Timeline m_timeline;
    CounterRegistry m_counters;
};

/// The interface over a state machine that applies each proposal at once.
struct Fixture
{
    state::StateMachine machine { CellId { 1 } };
    FakeViews views;
    OperatorApi api { tokenDigest("op-token"), machine, views };
    std::uint64_t index = 0;

    ApiReply call(std::string_view method, const std::string &path, std::string_view body = {},
                  std::string_view token = "op-token", ApiPort port = ApiPort::Operators)
    {
        const std::string whole = std::string(apiPrefix) + path;
        ApiOutcome outcome = api.handle(
                { .port = port, .method = method, .path = whole, .token = token, .body = body });
        if (auto *reply = std::get_if<ApiReply>(&outcome))
            return *reply;
        auto *proposal = std::get_if<ApiProposal>(&outcome);
        REQUIRE(proposal != nullptr);
        proposal->command.set_time_us(1'000'000);
        const std::string bytes = state::encodeCommand(proposal->command);
        return replyOf(machine.apply(++index, state::bytesOf(bytes)));
    }

    void addTeam(const std::string &name, const std::string &token)
    {
        const std::string body = R"({"requestId":"t-)" + name + R"(","expectedVersion":0,)"
                + R"("tokenDigest":")" + hexFromDigest(tokenDigest(token))
                + R"(","quota":{"millicores":8000,"memoryMb":8000}})";
        REQUIRE(call("PUT", "teams/" + name, body).status == 200);
    }
};

} // namespace acaciafork::operators
