#pragma once

#include <cstdint>
#include <string>

namespace acaciafork {

/// What the lines of a process name it by: its number, or, where it draws one itself, the address
/// of its messages.
inline std::string processName(const std::string &program, std::int64_t id,
                               const std::string &peersAddress)
{
    return id != 0 ? program + '-' + std::to_string(id) : program + '@' + peersAddress;
}

} // namespace acaciafork
