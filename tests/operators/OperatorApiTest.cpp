#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include <boost/json.hpp>

#include "tests/operators/Fixture.h"

using namespace acaciafork;
using namespace acaciafork::operators;

namespace {

namespace json = boost::json;

std::string errorKind(const ApiReply &reply)
{
    return std::string(json::parse(reply.body).at("error").at("kind").as_string());
}

const std::string configBody =
        R"({"requestId":"c1","expectedVersion":0,"author":"aiko","services":[{"name":"loopdraw",)"
        R"("class":"interactive","slots":8,"connections":64,"deadlineMs":1000,)"
        R"("longestDeadlineMs":5000}],"roles":[{"role":"entry","ini":"[log]\nlevel=info\n"}]})";
const std::string jobBody = R"({"id":"j1","family":"night","millicores":1000,"memoryMb":100})";

} // namespace

TEST_CASE("a proposed configuration is shown, and the loser of a race sees the winner")
{
    Fixture fixture;
    CHECK(fixture.call("POST", "config", configBody).body
          == R"({"outcome":"applied","version":1})");
    std::string other = configBody;
    other.replace(other.find("c1"), 2, "c2");
    const ApiReply late = fixture.call("POST", "config", other);
    CHECK(late.status == 409);
    CHECK(json::parse(late.body).at("error").at("winner").at("name").as_string() == "aiko");

    // Resent after the race: the first answer again.
    CHECK(fixture.call("POST", "config", configBody).body
          == R"({"outcome":"applied","version":1})");
    const json::value shown = json::parse(fixture.call("GET", "config").body);
    CHECK(shown.at("services").at(0).at("deadlineMs").as_int64() == 1000);
    CHECK(shown.at("processes").at(0).at("configVersion").as_int64() == 1);
    CHECK(fixture.call("GET", "config?version=9").status == 404);
}

TEST_CASE("tokens keep operators, teams and strangers apart")
{
    Fixture fixture;
    fixture.addTeam("warm", "warm-token");
    fixture.addTeam("furiko", "furiko-token");
    CHECK(fixture.call("GET", "status", {}, "").status == 401);
    CHECK(fixture.call("GET", "status", {}, "op-tokem").status == 401);
    CHECK(fixture.call("GET", "status", {}, "warm-token").status == 401);
    CHECK(fixture.call("GET", "status", {}, "op-token", ApiPort::Callers).status == 401);
    CHECK(fixture.call("GET", "status").status == 200);

    // A team reaches its own jobs only, by whichever port.
    CHECK(fixture.call("POST", "jobs", jobBody, "warm-token", ApiPort::Callers).status == 200);
    CHECK(fixture.call("GET", "jobs/j1", {}, "warm-token", ApiPort::Callers).status == 200);
    CHECK(fixture.call("GET", "jobs/j1", {}, "furiko-token").status == 404);
    CHECK(fixture.call("DELETE", "jobs/j1", {}, "furiko-token").status == 404);
    CHECK(fixture.call("GET", "jobs/warm/j1", {}, "furiko-token").status == 401);
    CHECK(fixture.call("GET", "jobs/warm/j1").status == 200);
    CHECK(fixture.call("DELETE", "jobs/j1", {}, "warm-token").status == 200);
    CHECK(fixture.machine.tasks().find("warm/j1")->state == wire::TASK_STATE_CANCELLED);
}

TEST_CASE("jobs are listed page by page within the team")
{
    Fixture fixture;
    fixture.addTeam("a", "token-a");
    fixture.addTeam("b", "token-b");
    for (const char *id : { "j1", "j2", "j3" }) {
        std::string body = jobBody;
        body.replace(body.find("j1"), 2, id);
        for (const char *token : { "token-a", "token-b" })
            CHECK(fixture.call("POST", "jobs", body, token).status == 200);
    }
    const json::value first = json::parse(fixture.call("GET", "jobs?limit=2", {}, "token-a").body);
    CHECK(first.at("jobs").as_array().size() == 2);
    CHECK(first.at("more").as_bool());
    const json::value rest =
            json::parse(fixture.call("GET", "jobs?limit=2&after=a/j2", {}, "token-a").body);
    CHECK(rest.at("jobs").as_array().size() == 1);
    CHECK_FALSE(rest.at("more").as_bool());
    CHECK(json::parse(fixture.call("GET", "jobs").body).at("jobs").as_array().size() == 6);
    CHECK(fixture.call("GET", "jobs?limit=0").status == 400);
}

TEST_CASE("a weekend's move is planned from the racks and goes step by step")
{
    Fixture fixture;
    for (const char *name : { "r1", "r2" }) {
        const std::string body = R"({"requestId":"put-)" + std::string(name)
                + R"(","expectedVersion":0,"building":"old","zone":"a"})";
        CHECK(fixture.call("PUT", "racks/" + std::string(name), body).status == 200);
    }
    const std::string plan = R"({"requestId":"m1","expectedVersion":0,"id":"weekend","from":"old",)"
                             R"("to":"new","deadlineUs":5})";
    const std::string firstAnswer = fixture.call("POST", "move", plan).body;
    CHECK(firstAnswer == R"({"outcome":"applied","version":1})");
    CHECK(fixture.machine.moves().find("weekend")->steps_size() == 4);
    const std::string change = R"({"requestId":"m2","expectedVersion":1})";
    CHECK(fixture.call("POST", "move/weekend/start", change).status == 200);
    CHECK(fixture.call("POST", "racks/r1/drain", R"({"requestId":"d","expectedVersion":1})").status
          == 200);
    CHECK(fixture.call("POST", "move/weekend/rollback", R"({"requestId":"m3","expectedVersion":1})")
                  .status
          == 409);
    CHECK(json::parse(fixture.call("GET", "move").body).at("moves").at(0).at("state").as_string()
          == "running");

    // The plan resent after a rack has gone: the usual steps would differ now, the answer does not.
    wire::Command drained;
    drained.set_cell(1);
    drained.mutable_change_rack()->set_name("r1");
    drained.mutable_change_rack()->set_target(wire::RACK_STATE_DRAINED);
    drained.mutable_change_rack()->set_expected_version(2);
    const std::string bytes = state::encodeCommand(drained);
    fixture.machine.apply(++fixture.index, state::bytesOf(bytes));
    CHECK(fixture.call("POST", "racks/r1/retire", R"({"requestId":"e","expectedVersion":3})").status
          == 200);
    CHECK(fixture.call("POST", "move", plan).body == firstAnswer);
}

TEST_CASE("every read route answers, and unknown ones are refused")
{
    Fixture fixture;
    for (const char *path :
         { "status", "config", "config/history", "racks", "placements", "teams", "move", "workers",
           "endpoints", "members", "processes", "timeline", "counters", "jobs", "zones" })
        CHECK(fixture.call("GET", path).status == 200);
    CHECK(fixture.call("GET", "counters").body == R"({"counters":{"commits_total":7}})");
    CHECK(fixture.call("GET", "nothing").status == 404);
    CHECK(fixture.call("PUT", "status").status == 404);
}

TEST_CASE("zones are listed with their workers, and closed and opened by order")
{
    Fixture fixture;
    fixture.addTeam("warm", "warm-token");
    wire::Command reported;
    reported.set_cell(1);
    for (const char *name : { "w1", "w2" }) {
        wire::WorkerLife *worker = reported.mutable_change_workers()->add_put();
        worker->set_worker(name);
        worker->set_born(1);
        worker->set_zone("a");
    }
    const std::string bytes = state::encodeCommand(reported);
    REQUIRE(state::succeeded(fixture.machine.apply(++fixture.index, state::bytesOf(bytes))));
    const std::string open = R"({"zones":[{"name":"a","workers":2,"closed":false},)"
                             R"({"name":"c","workers":0,"closed":false}]})";
    CHECK(fixture.call("GET", "zones").body == open);

    const std::string close = R"({"requestId":"z1"})";
    CHECK(fixture.call("POST", "zones/a/close", close).body == R"({"outcome":"applied"})");
    CHECK(fixture.call("GET", "zones").body
          == R"({"zones":[{"name":"a","workers":2,"closed":true,"sinceUs":1000000},)"
             R"({"name":"c","workers":0,"closed":false}]})");
    CHECK(fixture.call("POST", "zones/a/close", R"({"requestId":"z2"})").body
          == R"({"outcome":"already-applied"})");
    CHECK(fixture.call("POST", "zones/a/open", R"({"requestId":"z3"})").status == 200);

    // An order that was delayed until the zone is open again gets its answer and closes nothing.
    CHECK(fixture.call("POST", "zones/a/close", close).body == R"({"outcome":"applied"})");
    CHECK(fixture.call("GET", "zones").body == open);

    // A zone that only the settings name has no worker yet, and may be closed before one comes.
    CHECK(fixture.call("POST", "zones/c/close", R"({"requestId":"z4"})").status == 200);
    // A mistyped zone would be shown as closed while its workers take work.
    CHECK(fixture.call("POST", "zones/aa/close", R"({"requestId":"z5"})").status == 404);
    CHECK(fixture.call("POST", "zones/a/close", "{}").status == 400);
    CHECK(fixture.call("POST", "zones/a/close", R"({"requestId":"z6"})", "warm-token").status
          == 401);
    CHECK(fixture.machine.closedZones().all().size() == 1);
}

TEST_CASE("a change of members is handed on, not proposed")
{
    Fixture fixture;
    const std::string path = std::string(apiPrefix) + "members";
    const ApiOutcome outcome = fixture.api.handle(
            { .port = ApiPort::Operators,
              .method = "POST",
              .path = path,
              .token = "op-token",
              .body = R"({"action":"replace","member":4,"replaced":2,"address":"127.0.0.1:1",)"
                      R"("zone":"a"})" });
    const auto *change = std::get_if<MemberChange>(&outcome);
    REQUIRE(change != nullptr);
    CHECK(change->member == ProcessId { 4 });
    CHECK(change->replaced == ProcessId { 2 });
}

TEST_CASE("bad bodies are typed errors that name the field, and change nothing")
{
    Fixture fixture;
    const std::pair<std::string, std::string> bodies[] = {
        { "", "malformed JSON" },
        { "[]", "must be a JSON object" },
        { R"({"requestId":"r"})", "expectedVersion" },
        { R"({"requestId":"r","expectedVersion":-1,"author":"a"})", "expectedVersion" },
        { R"({"requestId":"r","expectedVersion":1e3,"author":"a"})", "expectedVersion" },
        { R"({"requestId":"r","expectedVersion":0,"author":"a","x":1})", "x: no such field" },
        { R"({"requestId":"r","expectedVersion":0,"author":"a","services":[{"name":"s"}]})",
          "services[0].class" },
        { std::string(100, '['), "malformed JSON" },
    };
    for (const auto &[body, detail] : bodies) {
        const ApiReply reply = fixture.call("POST", "config", body);
        CHECK(reply.status == 400);
        CHECK(errorKind(reply) == "invalid-argument");
        CHECK_MESSAGE(reply.body.find(detail) != std::string::npos, reply.body);
    }
    CHECK(fixture.call("POST", "config", std::string(largestBody + 1, ' ')).status == 413);
    CHECK(fixture.machine.configuration().version() == ConfigVersion { 0 });
}

TEST_CASE("arbitrary bodies and paths never crash and never give a server error")
{
    constexpr int rounds = 5000;
    std::mt19937_64 random(20261203); // NOLINT: the seed is fixed on purpose
    Fixture fixture;
    const std::string paths[] = { "config",         "racks/r1",     "placements/s", "teams/t",
                                  "move",           "move/m/start", "jobs?limit",   "members",
                                  "racks/r1/drain", "zones/c/close" };
    for (int i = 0; i < rounds; ++i) {
        std::string body = configBody;
        for (std::size_t n = random() % 6; n > 0; --n)
            body[random() % body.size()] = static_cast<char>(random());
        std::string path = std::string(apiPrefix) + paths[random() % std::size(paths)];
        if (random() % 2 == 0)
            path[random() % path.size()] = static_cast<char>(random());
        const ApiOutcome outcome = fixture.api.handle({ .port = ApiPort::Operators,
                                                        .method = i % 2 == 0 ? "POST" : "PUT",
                                                        .path = path,
                                                        .token = "op-token",
                                                        .body = body });
        if (const auto *reply = std::get_if<ApiReply>(&outcome))
            CHECK(reply->status < 500);
    }
}
