#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "acaciafork/core/Ids.h"
#include "wire/state.pb.h"

namespace acaciafork::operators {

/// Listening port that a call came in by. Callers' ports serve a team's jobs only.
enum class ApiPort : std::uint8_t { Callers, Operators };

/// One HTTP request to /acaciafork/v1/, without its transport.
struct ApiCall
{
    ApiPort port = ApiPort::Callers;
    std::string_view method;
    /// Path with its query, such as "/acaciafork/v1/jobs?limit=10".
    std::string_view path;
    /// Bearer token, without the word before it; empty when there was none.
    std::string_view token;
    std::string_view body;
};

/// Answer to a call; the body is JSON.
struct ApiReply
{
    int status = 0;
    std::string body;
};

/// A change to propose to the replicated log. The caller sets the command's time, and answers with
/// replyOf() once the command has been applied.
struct ApiProposal
{
    wire::Command command;
};

/// What to do with the members of the control group.
enum class MemberAction : std::uint8_t { Add, Remove, Replace };

/// A change of membership, which consensus carries out itself.
struct MemberChange
{
    MemberAction action = MemberAction::Add;
    /// The member to add; of a replacement, the new one.
    ProcessId member;
    /// host:port of the member added.
    std::string address;
    /// Availability zone of the member added.
    ZoneName zone;
    /// The member that goes: of a removal, or of a replacement.
    ProcessId replaced;
};

/// What a call comes to.
using ApiOutcome = std::variant<ApiReply, ApiProposal, MemberChange>;

/// Prefix of every route.
inline constexpr std::string_view apiPrefix = "/acaciafork/v1/";

/// Largest body of a call, in bytes; the transport refuses larger ones unread where it can.
inline constexpr std::size_t largestBody = 1'048'576;

} // namespace acaciafork::operators
