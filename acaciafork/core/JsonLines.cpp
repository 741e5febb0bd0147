#include "acaciafork/core/JsonLines.h"

#include <algorithm>
#include <charconv>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <spdlog/fmt/chrono.h>
#include <spdlog/spdlog.h>

#include "acaciafork/core/LogWords.h"

namespace acaciafork {
namespace {

namespace json = boost::json;

/// Longest text that is read as a number: every such number is exact in a reader's double.
constexpr std::size_t mostDigits = 15;

json::value toValue(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, number);
    const bool hasLeadingZero = text.size() > 1 && text.front() == '0';
    if (ec == std::errc() && rest == end && !hasLeadingZero && text.size() <= mostDigits)
        return number;
    return json::string(text);
}

} // namespace

void JsonLines::format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &line)
{
    const auto micros =
            std::chrono::duration_cast<std::chrono::microseconds>(message.time.time_since_epoch());
    json::object object;
    object["time"] = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                                 fmt::gmtime(spdlog::log_clock::to_time_t(message.time)),
                                 micros.count() % std::micro::den);
    const spdlog::string_view_t level = spdlog::level::to_string_view(message.level);
    object["level"] = std::string_view(level.data(), level.size());
    object["process"] = std::string_view(message.logger_name.data(), message.logger_name.size());
    forEachLogWord({ message.payload.data(), message.payload.size() },
                   [&](std::string_view key, std::string_view value) {
                       if (!key.empty()) {
                           object[key] = toValue(value);
                           return;
                       }
                       json::value &text = object["text"];
                       if (!text.is_string())
                           text = json::string(value);
                       else
                           text.get_string().append(" ").append(value);
                   });
    const std::string text = json::serialize(object) + '\n';
    line.append(text.data(), text.data() + text.size());
}

std::unique_ptr<spdlog::formatter> JsonLines::clone() const
{
    return std::make_unique<JsonLines>();
}

} // namespace acaciafork
