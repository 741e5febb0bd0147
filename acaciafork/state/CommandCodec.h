#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "wire/state.pb.h"

namespace acaciafork::state {

/// Serializes a command to the bytes that are stored in the replicated log.
std::string encodeCommand(const wire::Command &command);

/// Returns a byte view of `text`, as StateMachine::apply() and StateMachine::restore() take it.
inline std::span<const std::byte> bytesOf(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

} // namespace acaciafork::state
