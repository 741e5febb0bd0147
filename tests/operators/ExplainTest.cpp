#include <doctest/doctest.h>

#include <array>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "acaciafork/operators/client/Explain.h"

using namespace acaciafork::operators;

namespace {

const std::string entryLog =
        "time=2026-01-01T00:00:01.000000Z level=info process=entry-1 event=call-answered "
        "path=/q/00000000000000aa submit=true status=200 repeated=false took-us=900\n"
        "time=2026-01-01T00:00:05.000000Z level=info process=entry-1 event=call-answered "
        "path=/q/00000000000000bb submit=true status=503 repeated=false took-us=80\n"
        "no line of ours\n";

/// The control members' log, in the other format and behind a collector's prefix.
const std::string controlLog =
        "host {\"time\":\"2026-01-01T00:00:00.500000Z\",\"process\":\"control-1\","
        "\"event\":\"tenure-began\",\"tenure\":1}\n"
        "host {\"time\":\"2026-01-01T00:00:00.999000Z\",\"process\":\"control-1\","
        "\"event\":\"job-accepted\",\"job\":\"00000000000000aa\",\"tasks\":2}\n"
        "host {\"time\":\"2026-01-01T00:00:01.500000Z\",\"process\":\"control-1\","
        "\"event\":\"run-placed\",\"task\":\"00000000000000aa.0.0.1\",\"run\":1,"
        "\"worker\":\"w1\",\"waited-ms\":480}\n"
        "host {\"time\":\"2026-01-01T00:00:02.000000Z\",\"process\":\"control-1\","
        "\"event\":\"worker-silent\",\"worker\":\"w1\"}\n"
        "host {\"time\":\"2026-01-01T00:00:02.000000Z\",\"process\":\"control-1\","
        "\"event\":\"worker-silent\",\"worker\":\"w2\"}\n"
        "host {\"time\":\"2026-01-01T00:00:03.000000Z\",\"process\":\"control-1\","
        "\"event\":\"run-lost\",\"task\":\"00000000000000aa.0.0.1\",\"worker\":\"w1\","
        "\"reason\":\"lapsed\"}\n"
        "host {\"time\":\"2026-01-01T00:00:04.000000Z\",\"process\":\"control-1\","
        "\"event\":\"job-ended\",\"job\":\"00000000000000aa\",\"outcome\":\"completed\","
        "\"age-ms\":3000,\"objective-ms\":900}\n"
        "host {\"time\":\"2026-01-01T00:00:04.500000Z\",\"process\":\"control-1\","
        "\"event\":\"tenure-ended\",\"tenure\":1}\n"
        "host {\"time\":\"2026-01-01T00:00:09.000000Z\",\"process\":\"control-2\","
        "\"event\":\"tenure-began\",\"tenure\":2}\n";

const std::array<std::string, 2> logs { entryLog, controlLog };

bool hasCause(const Explanation &explanation, std::string_view text)
{
    return std::ranges::any_of(explanation.causes,
                               [&](const auto &it) { return it.find(text) != std::string::npos; });
}

} // namespace

TEST_CASE("a late job is explained by its wait and its lost run, by time over all processes")
{
    const Explanation explanation = explain("00000000000000aa", logs);
    CHECK(explanation.verdict == "completed after 3000 ms, past its objective of 900 ms");
    CHECK(hasCause(explanation, "waited 480 ms"));
    CHECK(hasCause(explanation, "1 lapsed"));
    CHECK_FALSE(hasCause(explanation, "no leader"));
    REQUIRE(explanation.lines.size() == 6);
    CHECK(explanation.lines[0].event == "job-accepted");
    CHECK(explanation.lines[1].event == "call-answered");
    // Of the workers only those that ran it.
    CHECK(explanation.lines[3].word("worker") == "w1");
    CHECK(explanation.lines[5].event == "job-ended");
}

TEST_CASE("a refused job is explained by the time without a leader, a foreign id by nothing")
{
    const Explanation refused = explain("00000000000000bb", logs);
    CHECK(refused.verdict.starts_with("refused: the entry knew no leader"));
    CHECK(hasCause(refused, "no leader scheduled from 2026-01-01T00:00:04.0"));
    CHECK(refused.lines.size() == 3);
    const Explanation foreign = explain("00000000000000cc", logs);
    CHECK(foreign.verdict.starts_with("no line"));
    CHECK(foreign.lines.empty());
}

TEST_CASE("a job that was given up since it crashes workers is explained by their number")
{
    const std::array<std::string, 1> log {
        "time=2026-01-01T00:00:01.000000Z level=info process=control-1 event=job-failed "
        "task=00000000000000cc.0.0.0 run=0 worker=w3 reason=crashes-workers crashes=3 blame=4\n"
    };
    CHECK(hasCause(explain("00000000000000cc", log),
                   "3 workers crashed while they ran task 00000000000000cc.0.0.0"));
}

TEST_CASE("an account reads as text and as JSON")
{
    const Explanation explanation = explain("00000000000000aa", logs);
    const std::string text = explanationText(explanation);
    CHECK(text.starts_with("00000000000000aa: completed after 3000 ms"));
    CHECK(text.find("run-lost task=00000000000000aa.0.0.1 worker=w1 reason=lapsed")
          != std::string::npos);
    const boost::json::value value = explanationJson(explanation);
    CHECK(value.at("lines").as_array().size() == 6);
    CHECK(value.at("causes").as_array().size() == explanation.causes.size());
}
