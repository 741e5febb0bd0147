#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "acaciafork/core/Failure.h"
#include "acaciafork/operators/client/ControlClient.h"

namespace acaciafork::operators {

/// What acaciaforkctl was given, apart from addresses and output.
struct CtlArguments
{
    /// The command's words and what they apply to, such as `racks drain r1`.
    std::vector<std::string> words;
    /// Id of the request; a new one is drawn when it is missing.
    std::string requestId;
    /// Version that a change replaces; asked for when it is missing.
    std::optional<std::uint64_t> expectedVersion;
    /// JSON document of a change that takes a file.
    std::string document;
    std::string building;
    std::string zone;
    std::string fromBuilding;
    std::string toBuilding;
    /// Deadline of a move in wall-clock microseconds.
    std::int64_t deadlineMicroseconds = 0;
    std::uint32_t member = 0;
    std::uint32_t replaced = 0;
    std::string memberAddress;
    /// Bearer token of a team; only its digest is sent.
    std::string teamToken;
    /// Fields of the query, such as `limit=10`.
    std::vector<std::string> query;
    /// Chrome trace-event JSON in place of text, for the time line.
    bool chrome = false;
    /// JSON in place of text.
    bool json = false;
};

/// Where the version in force of a thing is found.
struct VersionSource
{
    /// Route to read; empty when a command needs no version.
    std::string_view path;
    /// List in the answer, and the key that names its elements; empty when the answer itself has
    /// the version.
    std::string_view list;
    std::string_view nameKey;
    /// The change takes a request id and replaces no version.
    bool takesRequestOnly = false;

    [[nodiscard]] constexpr bool takesRequest() const { return takesRequestOnly || !path.empty(); }
};

/// One command of acaciaforkctl that is one call.
struct CtlCommand
{
    /// Words that name it, with blanks between.
    std::string_view name;
    /// Words that follow, for the help: names go into the path's stars in turn.
    std::string_view operands;
    std::string_view method;
    /// Path below the prefix; each "*" takes one operand.
    std::string_view path;
    VersionSource version;
    /// Adds the fields of the body; nullptr for a body without any. The document comes first.
    void (*addBody)(const CtlArguments &, boost::json::object *);
    std::string_view meaning;
};

/// Every command that is one call.
std::span<const CtlCommand> ctlCommands();

/// Runs a command and gives what is to be printed.
/// Fails with Failure or Refusal.
Result<std::string> runCtl(const CtlArguments &arguments, ControlClient *client,
                           const std::function<std::string()> &newRequestId);

} // namespace acaciafork::operators
