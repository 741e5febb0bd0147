#include "acaciafork/operators/client/TimelineMerge.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include <boost/json.hpp>

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

constexpr std::int64_t microsecondsPerSecond = 1'000'000;

/// Reads one event; one that lacks a field is left out by the caller's exception handler.
MergedEvent eventOf(const json::value &value)
{
    return { .time = { .wallMicroseconds = value.at("wallUs").to_number<std::int64_t>(),
                       .logical = value.at("logical").to_number<std::uint32_t>() },
             .process = value.at("process").to_number<std::uint32_t>(),
             .kind = json::value_to<std::string>(value.at("kind")),
             .subject = json::value_to<std::string>(value.at("subject")),
             .detail = json::value_to<std::string>(value.at("detail")) };
}

} // namespace

std::vector<MergedEvent> mergeTimelines(const std::vector<json::value> &answers)
{
    std::vector<MergedEvent> events;
    for (const json::value &answer : answers) {
        for (const json::value &it : answer.at("events").as_array())
            events.push_back(eventOf(it));
    }
    std::stable_sort(events.begin(), events.end(), [](const MergedEvent &a, const MergedEvent &b) {
        return a.time != b.time ? a.time < b.time : a.process < b.process;
    });
    return events;
}

std::string timelineText(const std::vector<MergedEvent> &events)
{
    std::string text;
    for (const MergedEvent &it : events) {
        text += isoTime(it.time.wallMicroseconds) + '+' + std::to_string(it.time.logical)
                + " process=" + std::to_string(it.process) + ' ' + it.kind;
        if (!it.subject.empty())
            text += ' ' + it.subject;
        if (!it.detail.empty())
            text += ' ' + it.detail;
        text += '\n';
    }
    return text;
}

std::string chromeTrace(const std::vector<MergedEvent> &events)
{
    json::array list;
    for (const MergedEvent &it : events)
        list.push_back({ { "name", it.kind },
                         { "ph", "i" },
                         { "s", "p" },
                         { "ts", it.time.wallMicroseconds },
                         { "pid", it.process },
                         { "tid", 0 },
                         { "args",
                           { { "subject", it.subject },
                             { "detail", it.detail },
                             { "logical", it.time.logical } } } });
    return json::serialize(json::object { { "traceEvents", std::move(list) } });
}

std::string isoTime(std::int64_t wallMicroseconds)
{
    const std::time_t seconds = wallMicroseconds / microsecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf {};
    const std::size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ",
                  static_cast<int>(wallMicroseconds % microsecondsPerSecond));
    return std::string(buf.data(), n) + fraction.data();
}

} // namespace acaciafork::operators
