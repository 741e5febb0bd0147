#include "acaciafork/operators/OperatorApi.h"

#include <array>

#include "acaciafork/operators/Replies.h"
#include "acaciafork/operators/Route.h"
#include "acaciafork/operators/Tokens.h"

namespace acaciafork::operators {
namespace {

/// The route of a call, its captures filled in.
/// Fails with Failure of kind NotFound.
Result<const Route *> findRoute(std::string_view method, std::span<const std::string_view> path,
                                Request *request)
{
    const std::array<std::span<const Route>, 2> tables { readRoutes(), changeRoutes() };
    for (const std::span<const Route> table : tables) {
        for (const Route &it : table) {
            if (it.method == method && matches(it.pattern, path, &request->captures))
                return &it;
        }
    }
    return fail(FailureKind::NotFound, "no such route");
}

} // namespace

OperatorApi::OperatorApi(std::string operatorDigest, const state::StateMachine &machine,
                         const LiveViews &live)
    : m_operatorDigest(std::move(operatorDigest))
    , m_machine(machine)
    , m_live(live)
{ }

ApiOutcome OperatorApi::handle(const ApiCall &call) const
{
    const auto decide = [this, &call]() -> Result<ApiOutcome> {
        if (call.body.size() > largestBody)
            return fail(FailureKind::TooLarge, "the body is too large");

        // Who calls comes first: a stranger learns nothing about the routes.
        const std::string digest = tokenDigest(call.token);
        const bool isOperator =
                call.port == ApiPort::Operators && equalDigests(digest, m_operatorDigest);
        const std::optional<TeamName> team = teamOf(m_machine.teams(), digest);
        if (call.token.empty() || (!isOperator && !team))
            return fail(FailureKind::Unauthorized, "no token, or a wrong one");

        // Then the route.
        const std::size_t question = call.path.find('?');
        std::string_view path = call.path.substr(0, question);
        if (!path.starts_with(apiPrefix))
            return fail(FailureKind::NotFound, "no such route");
        path.remove_prefix(apiPrefix.size());
        Request request { .body = call.body };
        if (question != std::string_view::npos) {
            if (auto parsed = parseQuery(call.path.substr(question + 1), &request); !parsed)
                return parsed.error();
        }
        BOOST_LEAF_AUTO(route, findRoute(call.method, splitPath(path), &request));
        if (!isOperator && route->access == Access::Operator)
            return fail(FailureKind::Unauthorized, "the route needs an operator's token");
        if (!isOperator)
            request.team = team->value;
        return route->handler(Context { .machine = m_machine, .live = m_live }, request);
    };
    return leaf::try_handle_all(
            decide, [](const Failure &failure) -> ApiOutcome { return errorReply(failure); },
            []() -> ApiOutcome {
                return errorReply({ .kind = FailureKind::Internal, .detail = "unknown failure" });
            });
}

} // namespace acaciafork::operators
