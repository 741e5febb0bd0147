#include "acaciafork/state/ApplyResult.h"

#include <algorithm>
#include <array>

#include "acaciafork/core/Assert.h"
#include "acaciafork/state/StateLimits.h"

namespace acaciafork::state {
namespace {

constexpr std::array<std::string_view, wire::Outcome_ARRAYSIZE> outcomeNames {
    "applied",     "already-applied", "version-conflict", "not-found", "invalid",
    "wrong-state", "stale-epoch",     "over-quota",       "full",      "content-conflict",
    "malformed",   "begun-now",       "already-begun",    "finished",
};
static_assert(!outcomeNames.back().empty());

constexpr bool isVisible(char c)
{
    return c > ' ' && c <= '~';
}

/// True for 1 to maxNameBytes characters that are visible ASCII.
bool isVisibleText(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
            && std::all_of(text.begin(), text.end(), isVisible);
}

} // namespace

ApplyResult makeResult(wire::Outcome outcome, std::uint64_t version, std::string detail)
{
    ApplyResult result;
    result.set_outcome(outcome);
    result.set_version(version);
    if (!detail.empty())
        result.set_detail(std::move(detail));
    return result;
}

ApplyResult versionConflict(std::uint64_t expected, std::uint64_t current)
{
    return makeResult(wire::OUTCOME_VERSION_CONFLICT, current,
                      "expected version " + std::to_string(expected) + ", in force is "
                              + std::to_string(current));
}

std::string_view outcomeName(wire::Outcome outcome)
{
    ACACIAFORK_ASSERT(wire::Outcome_IsValid(outcome));
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

bool succeeded(const ApplyResult &result)
{
    return result.outcome() == wire::OUTCOME_APPLIED
            || result.outcome() == wire::OUTCOME_ALREADY_APPLIED;
}

bool isName(std::string_view text)
{
    return isVisibleText(text) && text.find('/') == std::string_view::npos;
}

bool isTaskId(std::string_view text)
{
    return isVisibleText(text);
}

bool isBounded(const wire::Resources &amounts)
{
    return amounts.millicores() <= maxResourceAmount && amounts.memory_mb() <= maxResourceAmount
            && amounts.accelerators() <= maxResourceAmount;
}

} // namespace acaciafork::state
