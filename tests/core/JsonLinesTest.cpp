#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <spdlog/details/log_msg.h>

#include "acaciafork/core/JsonLines.h"
#include "acaciafork/core/LogWords.h"

using namespace acaciafork;

namespace {

boost::json::object formatLine(std::string_view text)
{
    spdlog::memory_buf_t line;
    JsonLines().format({ "acaciafork-entry-4", spdlog::level::warn, text }, line);
    REQUIRE(line.size() > 0);
    CHECK(line[line.size() - 1] == '\n');
    return boost::json::parse(std::string_view(line.data(), line.size() - 1)).as_object();
}

} // namespace

TEST_CASE("a line of words becomes one JSON object with a member for each word")
{
    const boost::json::object line =
            formatLine("event=job-refused x job=0000000000000012 detail=\"a \"b\" c\" age-ms=120");
    CHECK(line.at("event") == "job-refused");
    CHECK(line.at("process") == "acaciafork-entry-4");
    CHECK(line.at("level") == "warning");
    // An id is text, whatever its digits.
    CHECK(line.at("job") == "0000000000000012");
    CHECK(line.at("age-ms") == 120);
    CHECK(line.at("detail") == "a \"b\" c");
    CHECK(line.at("text") == "x");
    CHECK(line.at("time").as_string().size()
          == std::string_view("2026-01-01T00:00:00.000000Z").size());
}

TEST_CASE("words of a line, also where it is odd")
{
    std::vector<std::pair<std::string, std::string>> words;
    const auto take = [&](std::string_view key, std::string_view value) {
        words.emplace_back(key, value);
    };
    forEachLogWord("  a=1 b= c=\"two words\" d=\"open", take);
    const std::vector<std::pair<std::string, std::string>> expected {
        { "a", "1" }, { "b", "" }, { "c", "two words" }, { "d", "open" }
    };
    CHECK(words == expected);
    words.clear();
    forEachLogWord("\"", take);
    forEachLogWord("k=\"", take);
    forEachLogWord("k=\"\"", take);
    CHECK(words.size() == 3);
    CHECK(words.back().second.empty());
}
