#include "acaciafork/callers/CallerRequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>

namespace acaciafork::callers {

namespace {

constexpr std::array<std::string_view, 7> idempotentMethods {
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "PROPFIND",
};

constexpr std::array<std::pair<std::string_view, RequestClass>, 3> requestClasses { {
        { "interactive", RequestClass::Interactive },
        { "batch", RequestClass::Batch },
        { "stream", RequestClass::Stream },
} };

bool isNameChar(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.';
}

bool isPrintable(char c)
{
    return c > ' ' && c < '\x7f';
}

leaf::error_id badHeader(std::string_view name, std::string_view allowed)
{
    return fail(FailureKind::InvalidArgument,
                "header " + std::string(name) + ": allowed is " + std::string(allowed));
}

Result<void> parsePath(const net::HttpExchange &exchange, const CallerSettings &settings,
                       CallerRequest *request)
{
    const std::string_view target = exchange.target();
    const auto slash = target.find('/', 1);
    const std::string_view service =
            target.substr(std::min<std::size_t>(1, target.size()),
                          slash == std::string_view::npos ? slash : slash - 1);
    const bool isName = !service.empty()
            && service.size() <= static_cast<std::size_t>(settings.mostServiceBytes)
            && std::all_of(service.begin(), service.end(), isNameChar);
    if (!target.starts_with('/') || !isName)
        return fail(FailureKind::InvalidArgument, "path: allowed is /<service>/<path>");
    request->service = service;
    request->path = slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
    return {};
}

Result<void> parseIdempotency(const net::HttpExchange &exchange, const CallerSettings &settings,
                              CallerRequest *request)
{
    request->idempotencyKey = exchange.header("idempotency-key");
    const std::string_view key = request->idempotencyKey;
    if (key.size() > static_cast<std::size_t>(settings.mostKeyBytes)
        || !std::all_of(key.begin(), key.end(), isPrintable))
        return badHeader("Idempotency-Key",
                         std::to_string(settings.mostKeyBytes) + " printable characters");

    const std::string_view flag = exchange.header("acaciafork-idempotent");
    request->isIdempotent =
            std::find(idempotentMethods.begin(), idempotentMethods.end(), request->method)
            != idempotentMethods.end();
    if (flag == "true" || flag == "false")
        request->isIdempotent = flag == "true";
    else if (!flag.empty())
        return badHeader("Acaciafork-Idempotent", "true or false");
    return {};
}

Result<void> parseTimeout(const net::HttpExchange &exchange, const CallerSettings &settings,
                          CallerRequest *request)
{
    request->timeout = settings.defaultTimeout;
    const std::string_view text = exchange.header("acaciafork-timeout-ms");
    if (text.empty())
        return {};
    const std::int64_t most = settings.mostTimeout.count() / 1'000;
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc() || end != text.data() + text.size() || ms < 1 || ms > most)
        return badHeader("Acaciafork-Timeout-Ms", "1 to " + std::to_string(most));
    request->timeout = std::chrono::milliseconds(ms);
    return {};
}

Result<void> parseClass(const net::HttpExchange &exchange, CallerRequest *request)
{
    request->upgradeProtocol = exchange.upgradeProtocol();
    if (!request->upgradeProtocol.empty())
        request->requestClass = RequestClass::Stream;
    const std::string_view text = exchange.header("acaciafork-class");
    if (text.empty())
        return {};
    const auto it = std::find_if(requestClasses.begin(), requestClasses.end(),
                                 [text](const auto &entry) { return entry.first == text; });
    if (it == requestClasses.end())
        return badHeader("Acaciafork-Class", "interactive, batch or stream");
    request->requestClass = it->second;
    return {};
}

} // namespace

Result<CallerRequest> parseCallerRequest(const net::HttpExchange &exchange,
                                         const CallerSettings &settings)
{
    CallerRequest request;
    request.method = exchange.method();
    request.headers = exchange.headers();
    request.body = exchange.body();
    if (auto ok = parsePath(exchange, settings, &request); !ok)
        return ok.error();
    if (auto ok = parseIdempotency(exchange, settings, &request); !ok)
        return ok.error();
    if (auto ok = parseTimeout(exchange, settings, &request); !ok)
        return ok.error();
    if (auto ok = parseClass(exchange, &request); !ok)
        return ok.error();
    return request;
}

} // namespace acaciafork::callers
