#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "../net/NetFixtures.h"

#include "acaciafork/workers/Workers.h"
#include "standins/StandinWorker.h"

namespace acaciafork::workers {

namespace {

using namespace std::chrono_literals;
using net::test::RawServer;
using net::test::runUntil;

/// Value of the result, or the detail of the failure.
template <typename F>
std::string textOf(F &&fn)
{
    return leaf::try_handle_all([&]() -> Result<std::string> { return fn(); },
                                [](const Failure &failure) { return failure.detail; },
                                [] { return std::string("?"); });
}

std::string reportAgain(std::string_view json)
{
    return textOf([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(it, decodeWorkerReport("w1", json));
        return encodeWorkerReport(it);
    });
}

std::string usageAgain(std::string_view json)
{
    return textOf([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(it, decodeUsageReport("w1", json));
        return encodeUsageReport(it);
    });
}

std::string commandAgain(std::string_view json)
{
    return textOf([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(it, decodeWorkerCommand("t1", json));
        return encodeWorkerCommand(it);
    });
}

std::string replaced(std::string text, std::string_view good, std::string_view bad)
{
    return text.replace(text.find(good), good.size(), bad);
}

const WorkerReport wholeReport {
    .worker = { "w1" },
    .incarnation = { 5 },
    .sequence = 9,
    .rack = { "r1" },
    .building = { "old" },
    .zone = { "a" },
    .millicores = 32'000,
    .memoryMb = 125'000,
    .accelerators = 2,
    .address = { .host = "127.0.0.1", .port = 99 },
    .tasks = { { .task = { "t1" },
                 .epoch = { 3 },
                 .status = TaskStatus::Checkpointed,
                 .checkpoint = "c" } },
};

} // namespace

TEST_CASE("reports are decoded, or refused with the field at fault")
{
    const std::string report = encodeWorkerReport(wholeReport);
    CHECK(reportAgain(report) == report);
    CHECK(reportAgain(replaced(report, R"("incarnation":5)", R"("incarnation":0)"))
                  .starts_with("field incarnation"));
    CHECK(reportAgain(replaced(report, R"("millicores":32000)", R"("millicores":-1)"))
                  .starts_with("field millicores"));
    CHECK(reportAgain(replaced(report, R"("status":"checkpointed")", R"("status":"gone")"))
                  .starts_with("field status"));
    CHECK(reportAgain(replaced(report, R"("epoch":3)", R"("epoch":0)")).starts_with("field epoch"));
    CHECK(reportAgain(replaced(report, R"("tasks":[{)", R"("tasks":[1,{)"))
                  .starts_with("field tasks"));
    CHECK(reportAgain(replaced(report, "127.0.0.1:99", "nowhere")).starts_with("field address"));

    const UsageReport whole { .worker = { "w1" },
                              .incarnation = { 5 },
                              .sequence = 2,
                              .lag = 1s,
                              .window = 2s,
                              .tasks = { { .task = { "t1" },
                                           .epoch = { 3 },
                                           .millicores = 900,
                                           .memoryMb = 5,
                                           .speedPerMille = 700 } } };
    const std::string usage = encodeUsageReport(whole);
    CHECK(usageAgain(usage) == usage);
    CHECK(usageAgain(replaced(usage, R"("windowMs":2000)", R"("windowMs":0)"))
                  .starts_with("field windowMs"));

    const std::string command = encodeWorkerCommand({ .task = { "t1" },
                                                      .action = WorkerAction::Checkpoint,
                                                      .epoch = { 4 },
                                                      .leaseDuration = 10s,
                                                      .payload = "{}",
                                                      .checkpoint = "c" });
    CHECK(commandAgain(command) == command);
    CHECK(commandAgain(replaced(command, R"("action":"checkpoint")", R"("action":"pause")"))
                  .starts_with("field action"));
}

TEST_CASE("a command tells whether the worker can have taken it")
{
    struct Case
    {
        std::string answer;
        CommandOutcome outcome;
    };
    const std::string task = encodeTaskReport({ .task = { "t1" }, .epoch = { 7 } });
    const std::string length = "content-length: " + std::to_string(task.size()) + "\r\n\r\n" + task;
    const Case cases[] = {
        { "HTTP/1.1 200 OK\r\n" + length, CommandOutcome::Done },
        { "HTTP/1.1 409 Conflict\r\n" + length, CommandOutcome::Fenced },
        { "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n", CommandOutcome::NotKnown },
        { "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n", CommandOutcome::Refused },
        { "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", CommandOutcome::Unclear },
        { "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\ncut", CommandOutcome::Unclear },
    };
    const WorkerCommand command { .task = { "t1" }, .epoch = { 7 } };
    net::Address gone;
    for (const auto &it : cases) {
        net::Loop loop;
        WorkerClient client(loop, { .commandTimeout = 100ms });
        RawServer worker(loop, [&](net::TcpStream &stream, const std::string &) {
            stream.write(it.answer);
        });
        gone = worker.address();
        std::optional<CommandReply> reply;
        client.send(worker.address(), command, [&](const CommandReply &got) { reply = got; });
        runUntil(loop, [&] { return reply.has_value(); });
        CAPTURE(it.answer);
        CHECK(reply->outcome == it.outcome);
        const bool hasReport =
                it.outcome == CommandOutcome::Done || it.outcome == CommandOutcome::Fenced;
        CHECK(reply->report.has_value() == hasReport);
    }
    net::Loop loop;
    WorkerClient client(loop, {});
    std::optional<CommandReply> reply;
    client.send(gone, command, [&](const CommandReply &got) { reply = got; });
    runUntil(loop, [&] { return reply.has_value(); });
    CHECK(reply->outcome == CommandOutcome::NotReached);
}

TEST_CASE("the stand-in worker obeys leases and epochs")
{
    net::Loop loop;
    net::HttpClient http(loop, {});
    standins::StandinReporter reporter(http, {});
    standins::StandinWorker worker(loop, reporter, wholeReport);
    net::Address address { .host = "127.0.0.1", .port = 0 };
    address.port =
            leaf::try_handle_all([&]() -> Result<std::uint16_t> { return worker.start(address); },
                                 [] { return std::uint16_t(0); });
    WorkerClient client(loop, {});
    Incarnation incarnation;
    const auto send = [&](WorkerAction action, std::uint64_t epoch, Duration lease = 60s,
                          std::string payload = R"({"kind":"batch","runMs":600000})",
                          std::string checkpoint = {}) {
        std::optional<CommandReply> reply;
        client.send(address,
                    { .task = { "t1" },
                      .action = action,
                      .epoch = { epoch },
                      .leaseDuration = lease,
                      .incarnation = incarnation,
                      .reportSequence = worker.lastReport().sequence,
                      .payload = std::move(payload),
                      .checkpoint = std::move(checkpoint) },
                    [&](const CommandReply &got) { reply = got; });
        runUntil(loop, [&] { return reply.has_value(); });
        return *reply;
    };

    // A lease of another incarnation, from before a restart, gives nothing.
    incarnation = { worker.lastReport().incarnation.value - 1 };
    CHECK(send(WorkerAction::Start, 1).outcome != CommandOutcome::Done);
    incarnation = worker.lastReport().incarnation;
    CHECK(send(WorkerAction::Renew, 1).outcome == CommandOutcome::NotKnown);
    CHECK(send(WorkerAction::Start, 1, 60s, R"({"kind":"dance"})").outcome
          == CommandOutcome::Refused);
    CHECK(send(WorkerAction::Start, 2).outcome == CommandOutcome::Done);
    CHECK(send(WorkerAction::Start, 2).report->status == TaskStatus::Running);
    CHECK(send(WorkerAction::Stop, 1).outcome == CommandOutcome::Fenced);
    CHECK(worker.running() == 1);

    // A checkpoint stops the task; the next epoch goes on from it, and stops with its lease.
    const CommandReply checkpointed = send(WorkerAction::Checkpoint, 2);
    CHECK(checkpointed.report->status == TaskStatus::Checkpointed);
    CHECK(worker.running() == 0);
    CHECK(send(WorkerAction::Start, 3, 50ms, {}, checkpointed.report->checkpoint).outcome
          == CommandOutcome::Done);
    runUntil(loop, [&] { return worker.running() == 0; });
    CHECK(send(WorkerAction::Start, 4, 60s, R"({"kind":"batch","runMs":0})").outcome
          == CommandOutcome::Done);
    runUntil(loop, [&] { return worker.running() == 0; });

    // An epoch that was stopped before it came is refused when it comes after all.
    CHECK(send(WorkerAction::Stop, 5).outcome == CommandOutcome::Done);
    CHECK(send(WorkerAction::Start, 5).report->status == TaskStatus::Stopped);
    CHECK(worker.running() == 0);

    boost::json::array runs;
    boost::json::array endpoints;
    worker.addCounts(&runs, &endpoints);
    REQUIRE(runs.size() == 3);
    const std::string_view ends[] = { "checkpointed", "lease-expired", "finished" };
    for (std::size_t i = 0; i != 3; ++i)
        CHECK(std::string_view(runs[i].at("end").as_string()) == ends[i]);
}

} // namespace acaciafork::workers
