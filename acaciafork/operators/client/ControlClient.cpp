#include "acaciafork/operators/client/ControlClient.h"

#include <optional>

#include <boost/json.hpp>

#include "acaciafork/operators/ApiCall.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

constexpr int statusOk = 200;

/// Kind of a failure by its name at the interface.
FailureKind kindOf(std::string_view name)
{
    for (int i = 0; i <= static_cast<int>(FailureKind::Internal); ++i) {
        const auto kind = static_cast<FailureKind>(i);
        if (failureKindName(kind) == name)
            return kind;
    }
    return FailureKind::Protocol;
}

/// Failure that an answer other than 200 tells of.
Failure failureOf(const ClientReply &reply, const json::value &body)
{
    const json::object *object = body.if_object();
    const json::value *error = object == nullptr ? nullptr : object->if_contains("error");
    if (error == nullptr || !error->is_object())
        return { .kind = FailureKind::Protocol,
                 .detail = "answer " + std::to_string(reply.status) + " without an error" };
    const auto textOf = [error](std::string_view key) {
        const json::value *value = error->get_object().if_contains(key);
        return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                      : std::string();
    };
    return { .kind = kindOf(textOf("kind")), .detail = textOf("detail") };
}

/// True when another address, or the same one later, may do better.
bool isWorthRepeating(FailureKind kind)
{
    return kind == FailureKind::NotReady || kind == FailureKind::Overloaded
            || kind == FailureKind::Timeout || kind == FailureKind::Unreachable
            || kind == FailureKind::Protocol;
}

} // namespace

ControlClient::ControlClient(ControlClientSettings settings, Transport &transport,
                             std::function<void(Duration)> sleep)
    : m_settings(std::move(settings))
    , m_transport(transport)
    , m_sleep(std::move(sleep))
{ }

Result<json::value> ControlClient::call(const std::string &method, const std::string &path,
                                        const std::string &body)
{
    std::optional<Refusal> last;
    for (int round = 0; round < m_settings.rounds; ++round) {
        if (round > 0)
            m_sleep(m_settings.pause);
        for (const std::string &address : m_settings.addresses) {
            // A value ends the search; what is worth repeating is kept in case nothing better
            // comes.
            std::optional<json::value> answer;
            leaf::try_handle_all(
                    [&]() -> Result<void> {
                        BOOST_LEAF_AUTO(value, callAt(address, method, path, body));
                        answer = std::move(value);
                        return {};
                    },
                    [&last](const Refusal &refusal) { last = refusal; },
                    [&last](const Failure &failure) { last = Refusal { .failure = failure }; },
                    [&last] { last = Refusal {}; });
            if (answer)
                return std::move(*answer);
            if (!isWorthRepeating(last->failure.kind))
                return leaf::new_error(*last);
        }
    }
    if (!last)
        return fail(FailureKind::InvalidArgument, "no address to call");
    return leaf::new_error(*last);
}

Result<json::value> ControlClient::callAt(const std::string &address, const std::string &method,
                                          const std::string &path, const std::string &body)
{
    BOOST_LEAF_AUTO(reply,
                    m_transport.send(address,
                                     { .method = method,
                                       .path = std::string(apiPrefix) + path,
                                       .token = m_settings.token,
                                       .body = body }));
    boost::system::error_code ec;
    json::value value = json::parse(reply.body, ec);
    if (reply.status != statusOk)
        return leaf::new_error(Refusal { .failure = failureOf(reply, value), .body = reply.body });
    if (ec)
        return fail(FailureKind::Protocol, address + ": the answer is no JSON");
    return value;
}

} // namespace acaciafork::operators
