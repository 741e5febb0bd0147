#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Failure.h"
#include "acaciafork/operators/ApiCall.h"
#include "acaciafork/operators/LiveViews.h"
#include "acaciafork/state/State.h"

namespace acaciafork::operators {

/// A call taken apart, with the caller known.
struct Request
{
    std::string_view body;
    /// Segments of the path that the route left open.
    std::vector<std::string> captures;
    /// Fields of the query.
    std::map<std::string, std::string, std::less<>> query;
    /// Team of the token; empty for an operator.
    std::string team;

    /// Field of the query, or an empty text.
    [[nodiscard]] std::string queryText(std::string_view key) const;
    /// Number of the query in [least, most], or `absent`.
    /// Fails with Failure of kind InvalidArgument.
    [[nodiscard]] Result<std::uint64_t> queryNumber(std::string_view key, std::int64_t least,
                                                    std::int64_t most, std::int64_t absent) const;
};

/// What the handlers of routes may read.
struct Context
{
    const state::StateMachine &machine;
    const LiveViews &live;
};

/// Who may use a route.
enum class Access : std::uint8_t {
    Operator, ///< operators, on their own port
    TeamOrOperator, ///< also a team, for its own jobs, on either port
};

/// One route: method and path, who may use it, and the function that decides.
struct Route
{
    std::string_view method;
    /// Path below the prefix; "*" stands for any one segment.
    std::string_view pattern;
    Access access;
    Result<ApiOutcome> (*handler)(const Context &, const Request &);
};

/// Routes that only read.
std::span<const Route> readRoutes();
/// Routes that change something.
std::span<const Route> changeRoutes();

/// Splits at slashes.
std::vector<std::string_view> splitPath(std::string_view path);

/// Fills captures when the path fits the pattern.
bool matches(std::string_view pattern, std::span<const std::string_view> path,
             std::vector<std::string> *captures);

/// Reads the query behind the question mark: `key=value` words with `&` between them.
/// Fails with Failure of kind InvalidArgument.
Result<void> parseQuery(std::string_view text, Request *request);

} // namespace acaciafork::operators
