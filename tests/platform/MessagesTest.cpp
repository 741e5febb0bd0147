#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform/Platform.h"

using namespace acaciafork;
using namespace acaciafork::platform;
using namespace std::chrono_literals;

namespace {

/// Whether a decoder takes a text.
template <typename F>
bool takes(F &&decode)
{
    return leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decode());
                return true;
            },
            [] { return false; });
}

template <typename T, typename F>
T decoded(F &&decode)
{
    return leaf::try_handle_all([&]() -> Result<T> { return decode(); },
                                []() -> T {
                                    FAIL("not decoded");
                                    return {};
                                });
}

const std::string config =
        R"({"version":7,"routes":[{"name":"r1","host":"a.example","pathPrefix":"/x/",)"
        R"("type":"unsafe","timeoutMs":3000,"targetLatencyMs":250,"priority":2,"service":"s",)"
        R"("maxAttempts":4,"stretch":1.5}],"services":[{"name":"s","maxConns":64,)"
        R"("enforcesCapacity":true}],"limits":{}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a job is read into the product's own terms")
{
    const auto job = decoded<wire::JobSpec>([] {
        return decodeJob(
                R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,)"
                R"("estimateMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
                R"("memMb":1024,"after":[0],"checkpointing":true,"image":"i","fills":true,)"
                R"("targetMs":50,"mayMiss":2,"longRunning":true,"antiAffinity":3,)"
                R"("constraints":"a","unheardOf":{}}]})");
    });
    CHECK(job.payload() == "text");
    REQUIRE(job.steps_size() == 2);
    CHECK(job.steps(0).data_rack() == "r1-3");
    CHECK(job.steps(0).size().millicores() == 500);
    const wire::JobStep &second = job.steps(1);
    CHECK(second.after(0) == 0);
    CHECK(second.checkpoints());
    CHECK(second.fills());
    CHECK(second.long_running());
    CHECK(second.tail_target_ms() == 50);
    CHECK(second.disruption_budget() == 2);
    CHECK(second.most_per_worker() == 3);
    CHECK(second.label() == "a");
    CHECK_FALSE(job.has_schedule());

    const auto timed = decoded<wire::JobSpec>([] {
        return decodeJob(R"({"steps":[{"count":1}],"runCount":3,"startAtMs":99,"intervalMs":20})");
    });
    CHECK(timed.schedule().times() == 3);
    CHECK(timed.schedule().first_ms() == 99);
}

TEST_CASE("what is no job is refused")
{
    for (const char *it : { "", "{", "[]", R"({"steps":[]})", R"({"steps":[7]})",
                            R"({"steps":[{"count":"4"}]})", R"({"steps":[{"count":-1}]})",
                            R"({"steps":[{"count":1,"after":["0"]}]})", R"({"spec":"text"})" }) {
        CAPTURE(it);
        CHECK_FALSE(takes([&] { return decodeJob(it); }));
    }
}

TEST_CASE("numbers of jobs and queues that are too large are refused and not cut off")
{
    const std::string job = R"({"steps":[{"count":1},{"count":1,"after":[0],"targetMs":50}],)"
                            R"("runCount":3,"startAtMs":99,"intervalMs":20})";
    REQUIRE(takes([&] { return decodeJob(job); }));
    const std::vector<std::pair<std::string, std::string>> jobChanges {
        { "[0]", "[4294967296]" },
        { "[0]", "[18446744073709551615]" },
        { "[0]", "[1e300]" },
        { ":50", ":1e300" },
        { ":50", ":4294967296" },
        { ":50", ":-1" },
        { ":99", ":9223372036854775807" },
        { ":20", ":9223372036854775807" },
        { ":3,", ":4294967296," },
    };
    for (const auto &change : jobChanges) {
        const std::string &from = change.first;
        const std::string &to = change.second;
        CAPTURE(to);
        CHECK_FALSE(takes([&] { return decodeJob(replaced(job, from, to)); }));
    }
    const std::vector<std::pair<std::string, std::string>> queueChanges {
        { R"("timeoutMs":3000)", R"("timeoutMs":4294967297)" },
        { R"("timeoutMs":3000)", R"("timeoutMs":1e300)" },
        { R"("targetLatencyMs":250)", R"("targetLatencyMs":1e300)" },
        { R"("stretch":1.5)", R"("stretch":1e300)" },
        { R"("timeoutMs":3000)", R"("timeoutMs":3000,"advice":{"validityMs":1e300})" },
        { R"("maxAttempts":4)", R"("maxAttempts":4294967297)" },
    };
    for (const auto &change : queueChanges) {
        const std::string &from = change.first;
        const std::string &to = change.second;
        CAPTURE(to);
        CHECK_FALSE(takes([&] { return decodeQueues(replaced(config, from, to)); }));
    }
    control::PermitAnswer none;
    CHECK_FALSE(decodePermits(R"({"good":[],"validityMs":9223372036854775807})", &none));
}

TEST_CASE("a configuration is taken whole or refused")
{
    const auto queues = decoded<wire::QueueConfig>([] { return decodeQueues(config); });
    CHECK(queues.version() == 7);
    CHECK(queues.source() == config);
    CHECK(queues.queues(0).path_prefix() == "/x/");
    CHECK(queues.queues(0).stretch() == doctest::Approx(1.5));
    CHECK(queues.pools(0).enforces_capacity());

    const std::vector<std::string> wrong {
        config.substr(0, config.size() - 5),
        replaced(config, R"("timeoutMs":3000)", R"("timeoutMs":0)"),
        replaced(config, R"("service":"s")", R"("service":"t")"),
        replaced(config, R"("version":7)", R"("version":"7")"),
        replaced(config, R"("routes":[)",
                 R"("routes":[{"name":"r2","host":"a.example",)"
                 R"("pathPrefix":"/x/","timeoutMs":1,"service":"s"},)"),
        replaced(config, R"("services":[)", R"("services":[7,)"),
        replaced(config, R"("host":"a.example",)", ""),
    };
    for (const std::string &it : wrong) {
        CAPTURE(it);
        CHECK_FALSE(takes([&] { return decodeQueues(it); }));
    }
}

TEST_CASE("a heartbeat names a worker, its life and its rack, or is refused")
{
    const std::string beat =
            R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"draining",)"
            R"("capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"clockMs":5,)"
            R"("sequence":4,"born":1754000000123})";
    const auto report = decoded<jobs::WorkerReport>([&] { return decodeHeartbeat("i-1", beat); });
    CHECK(report.life.name.value == "i-1");
    CHECK(report.life.born.value == 1'754'000'000'123);
    CHECK(report.life.rack.value == "r1-3");
    CHECK(report.life.draining);
    CHECK(report.life.capacity.millicores == 16'000);
    CHECK_FALSE(takes([&] { return decodeHeartbeat("", beat); }));
    CHECK_FALSE(takes([&] { return decodeHeartbeat("i", replaced(beat, "draining", "busy")); }));
    CHECK_FALSE(takes([&] { return decodeHeartbeat("i", replaced(beat, "4,", "\"4\",")); }));
    CHECK_FALSE(takes([&] { return decodeHeartbeat("i", "\xff\xfe"); }));
    // Nobody could send it an order.
    for (const char *it : { "10.0.0.9", "worker:80", "10.0.0.9:", ":80" }) {
        CAPTURE(it);
        CHECK_FALSE(takes([&] { return decodeHeartbeat("i", replaced(beat, "10.0.0.9:80", it)); }));
    }
}

TEST_CASE("an odd heartbeat names no worker")
{
    // Such values made a record of several workers invalid, or overflowed in computing leases.
    const std::string beat = R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",)"
                             R"("capacity":{"cpu":8,"memMb":9,"gpu":0},"labels":["a","r1-3"],)"
                             R"("clockMs":5,"sequence":4,"born":6,"version":"v1"})";
    const auto taken = [](std::string_view name, const std::string &body) {
        return takes([&] { return decodeHeartbeat(name, body); });
    };
    REQUIRE(taken("i-1", beat));
    CHECK(taken(std::string(160, 'i'), beat));
    for (const std::string &it :
         { std::string(161, 'i'), std::string("i-\xff"), std::string("i\0", 2), std::string("i 1"),
           std::string("i\n1") }) {
        CAPTURE(it);
        CHECK_FALSE(taken(it, beat));
    }

    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    std::string manyLabels = R"("a")";
    for (int it = 0; it < 16; ++it)
        manyLabels += R"(,"a")";
    const std::vector<std::pair<std::string, std::string>> changes {
        { R"("10.0.0.9:80")", R"("10.0.0.9:0")" },
        { R"("10.0.0.9:80")", R"("10.0.0.9:65536")" },
        { R"("10.0.0.9:80")", R"("10.0.0.9:-1")" },
        { R"("10.0.0.9:80")", R"("10.0.0.9:99999999999999999999")" },
        { R"("10.0.0.9:80")", "80" },
        { R"("v1")", deep },
        { R"("z")", deep },
        { R"("z")", '"' + std::string(161, 'z') + '"' },
        { R"(["a","r1-3"])", '[' + manyLabels + ']' },
        { R"("r1-3")", '"' + std::string(161, 'r') + '"' },
        { R"("r1-3")", "7" },
        { R"({"cpu":8)", "[" },
        { R"("cpu":8)", R"("cpu":1000000001)" },
        { R"("memMb":9)", R"("memMb":9223372036854775807)" },
        { R"("memMb":9)", R"("memMb":-1)" },
        { R"("gpu":0)", R"("gpu":1e300)" },
        { R"("gpu":0)", R"("gpu":1e999)" },
        { R"("clockMs":5)", R"("clockMs":9223372036854775807)" },
        { R"("clockMs":5)", R"("clockMs":18446744073709551615)" },
        { R"("born":6)", R"("born":9223372036854775807)" },
        { R"("born":6)", R"("born":6.5)" },
        { R"("born":6)", R"("born":7,"born":-7)" },
        { R"("sequence":4)", R"("sequence":1e300)" },
        { R"("ready")", R"("\ud800")" },
    };
    for (const auto &change : changes) {
        const std::string &from = change.first;
        const std::string &to = change.second;
        CAPTURE(from);
        CAPTURE(to.substr(0, 100));
        CHECK_FALSE(taken("i-1", replaced(beat, from, to)));
    }
}

TEST_CASE("a leave that can't be read does not end the present life of its worker")
{
    const auto born = [](const std::string &body) {
        return decoded<Incarnation>([&] { return decodeLeave(body); });
    };
    CHECK(born(R"({"born":1754000000123})") == Incarnation { 1'754'000'000'123 });
    CHECK_FALSE(born("{}"));
    CHECK_FALSE(born(""));
    for (const char *it :
         { R"({"born":"1754000000123"})", R"({"born":1e300})", R"({"born":-1})", R"({"born":6.5})",
           R"({"born":18446744073709551615})", "[]", "{", "\xff" }) {
        CAPTURE(it);
        CHECK_FALSE(takes([&] { return decodeLeave(it); }));
    }
}

TEST_CASE("a report tells how long its worker is cold, and is taken whatever stands there")
{
    // A report refused for this field would take the whole worker out of use.
    const auto coldFor = [](const std::string &field) {
        const std::string beat = R"({"service":"s","address":"10.0.0.9:80","state":"ready")";
        return decoded<jobs::WorkerReport>([&] { return decodeHeartbeat("i-1", beat + field); })
                .coldFor;
    };
    CHECK(coldFor("}") == 0ms);
    CHECK(coldFor(R"(,"coldRemainingMs":7500})") == 7500ms);
    CHECK(coldFor(R"(,"coldRemainingMs":7500.5})") == 7500ms);
    CHECK(coldFor(R"(,"coldRemainingMs":-3})") == 0ms);
    // A worker that is cold for ever would be shunned for good.
    CHECK(coldFor(R"(,"coldRemainingMs":1e300})") == 10min);
    CHECK(coldFor(R"(,"coldRemainingMs":18446744073709551615})") == 10min);
    for (const char *it : { R"("7500")", "null", "true", "[]", "{}" }) {
        CAPTURE(it);
        CHECK(coldFor(R"(,"coldRemainingMs":)" + std::string(it) + '}') == 0ms);
    }
}

TEST_CASE(
        "orders carry the token of the tenure and the incarnation, and answers say what became of "
        "them")
{
    const jobs::RunKey run { .task = { .job = { 0x5c0e7a21d94b36f8 }, .step = 1, .task = 17 },
                             .run = { 2 } };
    CHECK(encodeStart({ .run = run, .leaseEndMs = 486000 }, "a\"b", { 7 })
          == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"a\"b","deadlineMs":486000,)"
             R"("fencingToken":7340032})");
    CHECK(encodeHold({ .recordedEnds = 57, .leaseEndMs = 9, .wait = 1s }, { 7 })
          == R"({"fencingToken":7340032,"ackCursor":57,"deadlineMs":9,"waitMs":1000})");
    CHECK(encodeHold({}, { 7 }) == R"({"fencingToken":7340032,"ackCursor":0})");
    CHECK(encodeHold({ .target = { .life = 2 } }, { 7 })
          == R"({"fencingToken":7340034,"ackCursor":0})");
    CHECK(decodeOutcome(200, "") == jobs::OrderOutcome::Done);
    CHECK(decodeOutcome(409, R"({"reason":"fence"})") == jobs::OrderOutcome::Fenced);
    CHECK(decodeOutcome(409, R"({"reason":"room"})") == jobs::OrderOutcome::NoRoom);
    CHECK(decodeOutcome(409, "?") == jobs::OrderOutcome::Refused);
    CHECK(decodeOutcome(421, "") == jobs::OrderOutcome::OtherLife);
    CHECK(decodeOutcome(503, "") == jobs::OrderOutcome::NotHealthy);
    CHECK(decodeOutcome(502, "") == jobs::OrderOutcome::Unanswered);
}

TEST_CASE("a worker's lists are read with both of their kinds of rows")
{
    const std::string body =
            R"({"clockMs":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,90]],)"
            R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    const auto lists = decoded<jobs::RenewalAnswer>([&] { return decodeLists(body); });
    CHECK(lists.clockMs == 482'113);
    REQUIRE(lists.running.size() == 1);
    CHECK(lists.running[0].run.task.task == 17);
    CHECK(lists.running[0].load == 90);
    REQUIRE(lists.ended.size() == 1);
    CHECK(lists.ended[0].end == jobs::RunEnd::Done);
    CHECK(lists.unreadableRows == 0);
    for (const char *it : { "", "{", "[]", R"({"running":7})", R"({"ended":{}})", R"({"born":-1})",
                            R"({"clockMs":1e300})", R"({"born":18446744073709551615})" }) {
        CAPTURE(it);
        CHECK_FALSE(takes([&] { return decodeLists(it); }));
    }
}

TEST_CASE("one odd row leaves the rest of a worker's lists readable")
{
    const std::string body =
            R"({"clockMs":5,"running":[ROW["5c0e7a21d94b36f8.0.1.17",2,"c",41,90]],)"
            R"("ended":[END[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::vector<std::string> runs {
        "7",
        "null",
        "{}",
        "[]",
        deep,
        R"(["5c0e7a21d94b36f8.0.1.18",)" + deep + R"(,"",1])",
        R"(["]]}\"[",1,"",)" + deep + "]",
        R"(["5c0e7a21d94b36f8.0.1",1,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.4294967296",1,"",0])",
        R"(["5c0e7a21d94b36f81.0.1.1",1,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.-1",1,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.1",0,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.1",-1,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.1",1.5,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.1",1e300,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.1",9223372036854775807,"",0])",
        R"(["5c0e7a21d94b36f8.0.1.1",18446744073709551615,"",0])",
    };
    const std::vector<std::string> ends {
        R"([59,"5c0e7a21d94b36f8.0.1.1",1,"gone",""])",
        R"([59,"5c0e7a21d94b36f8.0.1",1,"done",""])",
        R"([59,"5c0e7a21d94b36f8.0.1.1",-1,"done",""])",
        R"([-1,"5c0e7a21d94b36f8.0.1.1",1,"done",""])",
        R"([0,"5c0e7a21d94b36f8.0.1.1",1,"done",""])",
        R"(["59","5c0e7a21d94b36f8.0.1.1",1,"done",""])",
        R"([1e300,"5c0e7a21d94b36f8.0.1.1",1,"done",""])",
        R"([9223372036854775807,"5c0e7a21d94b36f8.0.1.1",1,"done",""])",
        R"([18446744073709551615,"5c0e7a21d94b36f8.0.1.1",1,"done",""])",
    };
    const auto check = [&](const std::string &row, const std::string &end) {
        CAPTURE((row + end).substr(0, 100));
        const auto lists = decoded<jobs::RenewalAnswer>(
                [&] { return decodeLists(replaced(replaced(body, "ROW", row), "END", end)); });
        CHECK(lists.unreadableRows == 1);
        REQUIRE(lists.running.size() == 1);
        CHECK(lists.running[0].run.task.task == 17);
        CHECK(lists.running[0].checkpoint == "c");
        REQUIRE(lists.ended.size() == 1);
        CHECK(lists.ended[0].number == 58);
    };
    for (const std::string &it : runs) {
        check(it + ',', "");
        check("", it + ',');
    }
    for (const std::string &it : ends)
        check("", it + ',');
}

TEST_CASE("a load that is no whole number does not make a worker's answer unreadable")
{
    const std::string body = R"({"clockMs":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,90],)"
                             R"(["5c0e7a21d94b36f8.0.1.18",1,"",PERCENT,LOAD]]})";
    const std::vector<std::pair<std::string, std::int64_t>> cases {
        { "85.5", 85 },
        { "-0.5", 0 },
        { "1e300", 1'000'000'000 },
        { "-1e300", -1 },
        { "1e999", 1'000'000'000 },
        { "18446744073709551615", 1'000'000'000 },
        { "9223372036854775807", 1'000'000'000 },
        { "-9223372036854775808", -1 },
        { "\"85\"", -1 },
        { "null", -1 },
        { "[[85]]", -1 },
    };
    for (const auto &it : cases) {
        const std::string &text = it.first;
        const std::int64_t number = it.second;
        CAPTURE(text);
        const auto lists = decoded<jobs::RenewalAnswer>([&] {
            return decodeLists(replaced(replaced(body, "PERCENT", text), "LOAD", text));
        });
        REQUIRE(lists.running.size() == 2);
        CHECK(lists.running[0].load == 90);
        CHECK(lists.running[1].percent == number);
        CHECK(lists.running[1].load == number);
    }
}

TEST_CASE("states are told in the platform's words")
{
    CHECK(encodeJobAnswer(R"({"state":"waiting"})") == R"({"state":"queued"})");
    CHECK(encodeJobAnswer(R"({"state":"cancelled"})") == R"({"state":"canceled"})");
    CHECK(encodeJobAnswer(R"({"pending":12})") == R"({"pending":12})");
    CHECK(encodeJobAnswer("{}") == "{}");
}

TEST_CASE("a question to the advisor and its answer")
{
    jobs::RequestPermits question;
    question.step = { .job = { 0x5c0e7a21d94b36f8 }, .occurrence = 2, .step = 1 };
    question.workers = { WorkerName { "i-1" }, WorkerName { "i-2" } };
    CHECK(encodeQuestion(question) == R"({"step":"5c0e7a21d94b36f8.2.1","workers":["i-1","i-2"]})");

    control::PermitAnswer answer;
    REQUIRE(decodePermits(R"({"good":[["i-2","c81e"]],"validityMs":3000})", &answer));
    CHECK(answer.isAnswered);
    REQUIRE(answer.good.size() == 1);
    CHECK(answer.good[0].first == WorkerName { "i-2" });
    CHECK(answer.good[0].second == "c81e");
    CHECK(answer.validity == std::chrono::seconds(3));

    for (const char *it : { "", "{", "[]", "{}", R"({"good":7})", R"({"good":[["i-2"]]})",
                            R"({"good":[["i-2",7]]})", R"({"good":[],"validityMs":"x"})" }) {
        CAPTURE(it);
        control::PermitAnswer none;
        CHECK_FALSE(decodePermits(it, &none));
        CHECK_FALSE(none.isAnswered);
    }
}

TEST_CASE("a start carries its permit, and a refusal of it is told from others")
{
    jobs::StartRun order;
    order.permit = "c81e-7a";
    CHECK(encodeStart(order, "text", { 7 }).find(R"("ticket":"c81e-7a")") != std::string::npos);
    order.permit.clear();
    CHECK(encodeStart(order, "text", { 7 }).find("ticket") == std::string::npos);
    CHECK(decodeOutcome(409, R"({"clockMs":1,"reason":"ticket"})") == jobs::OrderOutcome::NoPermit);
}

TEST_CASE("a queue's policy is read with its times")
{
    const auto queues = decoded<wire::QueueConfig>([] {
        return decodeQueues(replaced(
                config, R"("timeoutMs":3000)",
                R"("timeoutMs":3000,"advice":{"decisionMs":80,"periodMs":4,"validityMs":2500})"));
    });
    REQUIRE(queues.queues(0).has_advice());
    CHECK(queues.queues(0).advice().decision_ms() == 80);
    CHECK(queues.queues(0).advice().per_worker_ms() == 4);
    CHECK(queues.queues(0).advice().validity_ms() == 2500);
    CHECK_FALSE(takes([&] {
        return decodeQueues(replaced(config, R"("timeoutMs":3000)",
                                     R"("timeoutMs":3000,"advice":{"decisionMs":"80"})"));
    }));
}
