#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "wire/state.pb.h"

namespace acaciafork::state {

/// Bytes of a command as the log holds them.
std::string encodeCommand(const wire::Command &command);

/// View of a text as the bytes that StateMachine::apply and restore take.
inline std::span<const std::byte> bytesOf(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

} // namespace acaciafork::state
