#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "acaciafork/core/Settings.h"
#include "acaciafork/operators/client/BeastTransport.h"
#include "acaciafork/operators/client/CtlCommand.h"
#include "acaciafork/operators/client/TimelineMerge.h"
#include "tests/operators/Fixture.h"

using namespace acaciafork;
using namespace acaciafork::operators;

namespace {

/// Transport straight into an OperatorApi, with faults: an address may be down, or lose answers
/// after the work was done.
class FakeTransport final : public Transport
{
public:
    explicit FakeTransport(Fixture *fixture)
        : m_fixture(*fixture)
    { }

    Result<ClientReply> send(const std::string &address, const ClientRequest &request) override
    {
        asked.push_back(address);
        if (address == "down")
            return fail(FailureKind::Unreachable, "down");
        const ApiReply reply = m_fixture.call(request.method, request.path.substr(apiPrefix.size()),
                                              request.body, request.token);
        if (lostAnswers > 0) {
            --lostAnswers;
            return fail(FailureKind::Timeout, "lost");
        }
        return ClientReply { .status = reply.status, .body = reply.body };
    }

    std::vector<std::string> asked;
    int lostAnswers = 0;

private:
    Fixture &m_fixture;
};

/// A terminal session against one fixture.
struct Session
{
    Fixture fixture;
    FakeTransport transport { &fixture };
    ControlClient client {
        { .addresses = { "down", "c1", "c2" }, .token = "op-token", .rounds = 2 },
        transport,
        [](Duration) {}
    };
    int requests = 0;
    /// Everything typed and printed so far.
    std::string text;

    FailureKind run(CtlArguments arguments)
    {
        FailureKind kind = FailureKind::Internal;
        text += "$ acaciaforkctl";
        for (const std::string &it : arguments.words)
            text += ' ' + it;
        text += '\n';
        leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(shown, runCtl(arguments, &client, [this] {
                                        return "r-" + std::to_string(++requests);
                                    }));
                    text += shown + '\n';
                    return {};
                },
                [&](const Refusal &it) { kind = note(it.failure); },
                [&](const Failure &it) { kind = note(it); }, [&] { note({}); });
        return kind;
    }

    FailureKind note(const Failure &failure)
    {
        text += std::string(failureKindName(failure.kind)) + ": " + failure.detail + "\n\n";
        return failure.kind;
    }
};

/// Compares with a golden file, or rewrites it when that is asked for.
void checkGolden(const std::string &name, const std::string &text)
{
    const std::string path = std::string(ACACIAFORK_GOLDEN_DIR) + '/' + name;
    if (std::getenv("ACACIAFORK_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
        return;
    }
    const Result<std::string> golden = readFile(path);
    REQUIRE(golden);
    CHECK(text == *golden);
}

} // namespace

TEST_CASE("a whole session at the terminal")
{
    Session session;
    session.run({ .words = { "racks", "put", "r1" }, .building = "old", .zone = "a" });
    session.run({ .words = { "racks", "put", "r2" }, .building = "old", .zone = "b" });
    session.run({ .words = { "racks", "list" } });
    session.run(
            { .words = { "config", "propose" }, .document = R"({"author":"aiko","services":[]})" });
    session.run({ .words = { "config", "propose" },
                  .expectedVersion = 0,
                  .document = R"({"author":"wei"})" });
    session.run({ .words = { "config", "show" } });
    session.run({ .words = { "config", "history" } });
    session.run({ .words = { "move", "plan", "weekend" },
                  .fromBuilding = "old",
                  .toBuilding = "new",
                  .deadlineMicroseconds = 3'600'000'000 });
    session.run({ .words = { "move", "start", "weekend" } });
    session.run({ .words = { "racks", "drain", "r1" } });
    session.run({ .words = { "racks", "retire", "r1" } });
    session.run({ .words = { "move", "status" } });
    session.run({ .words = { "placements", "put", "loopdraw" },
                  .document = R"({"replicas":2,"size":{"millicores":500,"memoryMb":64}})" });
    session.run({ .words = { "placements" } });
    session.run({ .words = { "placements", "remove", "loopdraw" } });
    session.run({ .words = { "jobs" } });
    session.run({ .words = { "jobs", "show", "warm", "j1" } });
    session.run({ .words = { "status" } });
    session.run({ .words = { "endpoints" } });
    session.run({ .words = { "workers" } });
    session.run({ .words = { "members", "list" } });
    session.run({ .words = { "counters" } });
    session.run({ .words = { "racks", "drain" } });
    session.run({ .words = { "racks", "drain", "a?b" } });
    session.run({ .words = { "dance" } });
    checkGolden("operators/session.txt", session.text);
}

TEST_CASE("what the questionnaire wrote for both deployments is accepted")
{
    const std::string folder = std::string(ACACIAFORK_GOLDEN_DIR) + "/questionnaire/";
    const auto hand = [&folder](Session *session, std::vector<std::string> words,
                                const std::string &file) {
        const Result<std::string> document = readFile(folder + file);
        REQUIRE_MESSAGE(document, file);
        session->text.clear();
        session->run({ .words = std::move(words), .document = *document, .teamToken = "secret" });
        CHECK_MESSAGE(session->text.find("applied") != std::string::npos, session->text);
    };
    Session warm;
    hand(&warm, { "config", "propose" }, "warm-floors/configuration.json");
    hand(&warm, { "placements", "put", "loopdraw" }, "warm-floors/placement-loopdraw.json");
    hand(&warm, { "teams", "put", "volunteers" }, "warm-floors/team-volunteers.json");
    Session furiko;
    hand(&furiko, { "config", "propose" }, "furiko/configuration.json");
    hand(&furiko, { "placements", "put", "furiko-record" }, "furiko/placement-furiko-record.json");
    hand(&furiko, { "teams", "put", "calibrations" }, "furiko/team-calibrations.json");
}

TEST_CASE("a change whose answer is lost goes to the next address and is done once")
{
    Session session;
    session.transport.lostAnswers = 2;
    session.run({ .words = { "racks", "put", "r1" },
                  .requestId = "same",
                  .expectedVersion = 0,
                  .building = "old",
                  .zone = "a" });
    CHECK(session.transport.asked == std::vector<std::string> { "down", "c1", "c2", "down", "c1" });
    CHECK(session.text.find("applied") != std::string::npos);
    CHECK(session.fixture.machine.racks().find("r1")->version() == 1);
}

TEST_CASE("a refusal is not repeated, and lost answers end as a timeout")
{
    Session session;
    CHECK(session.run({ .words = { "racks", "drain", "r9" } }) == FailureKind::NotFound);
    CHECK(session.transport.asked.size() == 4);
    session.transport.lostAnswers = 100;
    CHECK(session.run({ .words = { "status" } }) == FailureKind::Timeout);

    // A change says how to repeat it, and the repeat gets the first answer.
    CtlArguments put { .words = { "racks", "put", "r1" },
                       .requestId = "mine",
                       .expectedVersion = 0,
                       .building = "old",
                       .zone = "a" };
    CHECK(session.run(put) == FailureKind::Timeout);
    CHECK(session.text.find("--request-id mine --expected-version 0") != std::string::npos);
    session.transport.lostAnswers = 0;
    session.text.clear();
    session.run(put);
    CHECK(session.text.find("applied") != std::string::npos);
    CHECK(session.fixture.machine.racks().find("r1")->version() == 1);
}

TEST_CASE("a zone is closed and opened at the terminal, and a lost answer tells the request id")
{
    Session session;
    session.transport.lostAnswers = 4;
    CHECK(session.run({ .words = { "zones", "close", "c" } }) == FailureKind::Timeout);
    // The order replaces no version, and a hint with one would be refused.
    CHECK(session.text.find("--request-id r-1") != std::string::npos);
    CHECK(session.text.find("--expected-version") == std::string::npos);
    CHECK(session.fixture.machine.closedZones().all().contains("c"));
    session.text.clear();
    session.run({ .words = { "zones", "close", "c" }, .requestId = "r-1" });
    session.run({ .words = { "zones" } });
    session.run({ .words = { "zones", "open", "c" } });
    session.run({ .words = { "zones" } });
    session.run({ .words = { "zones", "close", "x" } });
    session.run({ .words = { "zones", "close" } });
    CHECK(session.text
          == "$ acaciaforkctl zones close c\n"
             "outcome:  applied\n\n"
             "$ acaciaforkctl zones\n"
             "zones (1)\n"
             "name  workers  closed  since\n"
             "c     0        true    1970-01-01T00:00:01.000000Z\n\n"
             "$ acaciaforkctl zones open c\n"
             "outcome:  applied\n\n"
             "$ acaciaforkctl zones\n"
             "zones (1)\n"
             "name  workers  closed\n"
             "c     0        false\n\n"
             "$ acaciaforkctl zones close x\n"
             "not-found: no zone x\n\n"
             "$ acaciaforkctl zones close\n"
             "invalid-argument: usage: acaciaforkctl zones close ZONE\n\n");
}

TEST_CASE("time lines merge so that a cause stands before its effects")
{
    const auto answer = [](std::uint32_t process, std::int64_t wall, const char *kinds) {
        return boost::json::parse(R"({"events":[{"wallUs":)" + std::to_string(wall)
                                  + R"(,"logical":0,"process":)" + std::to_string(process)
                                  + R"(,"kind":")" + kinds + R"(","subject":"s","detail":""}]})");
    };
    const auto events =
            mergeTimelines({ answer(2, 1'000'002, "late"), answer(1, 1'000'001, "early"),
                             answer(1, 1'000'002, "same") });
    CHECK(timelineText(events)
          == "1970-01-01T00:00:01.000001Z+0 process=1 early s\n"
             "1970-01-01T00:00:01.000002Z+0 process=1 same s\n"
             "1970-01-01T00:00:01.000002Z+0 process=2 late s\n");
    const auto trace = boost::json::parse(chromeTrace(events));
    CHECK(trace.at("traceEvents").as_array().size() == 3);
    CHECK(trace.at("traceEvents").at(0).at("ts").as_int64() == 1'000'001);
}

TEST_CASE("the transport tells unreachable from lost, and brings a whole answer")
{
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());

    // The first connection is answered, the second closed without an answer.
    std::string received;
    std::thread peer([&] {
        tcp::socket first = acceptor.accept();
        asio::streambuf buf;
        asio::read_until(first, buf, "{}");
        received = std::string(asio::buffers_begin(buf.data()), asio::buffers_end(buf.data()));
        asio::write(first,
                    asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n"
                                                  "Content-Length: 7\r\n\r\n{\"a\":1}")));
        acceptor.accept().close();
        acceptor.close();
    });

    BeastTransport transport { std::chrono::seconds(10) };
    const auto kindOf = [&](const std::string &to) {
        return leaf::try_handle_all(
                [&]() -> Result<FailureKind> {
                    BOOST_LEAF_AUTO(reply,
                                    transport.send(to,
                                                   { .method = "POST",
                                                     .path = "/acaciafork/v1/x",
                                                     .token = "secret",
                                                     .body = "{}" }));
                    CHECK(reply.status == 200);
                    CHECK(reply.body == R"({"a":1})");
                    return FailureKind::Internal;
                },
                [](const Failure &failure) { return failure.kind; },
                [] { return FailureKind::Corrupt; });
    };
    CHECK(kindOf(address) == FailureKind::Internal);
    CHECK(kindOf(address) == FailureKind::Timeout);
    peer.join();
    CHECK(kindOf(address) == FailureKind::Unreachable);
    CHECK(kindOf("localhost:1") == FailureKind::InvalidArgument);
    CHECK(received.find("Authorization: Bearer secret") != std::string::npos);
}
