#pragma once

#include <map>
#include <string>
#include <string_view>

#include "acaciafork/core/Core.h"

namespace acaciafork::consensus {

/// Result of a command on the register.
struct RegisterOutcome
{
    /// True when the command changed the value.
    bool changed = false;
    /// Version and value after the command.
    std::uint64_t version = 0;
    std::uint64_t value = 0;

    bool operator==(const RegisterOutcome &) const = default;
};

/// State machine for tests: one register with a version. It keeps the first outcome of each
/// operation id, so that a resent operation has no effect.
class Register
{
public:
    /// Serializes a write, or a compare-and-set if `expected` is not 0.
    static std::string command(std::uint64_t operation, std::uint64_t expected,
                               std::uint64_t value);

    /// Executes a command.
    RegisterOutcome apply(std::string_view command);
    [[nodiscard]] std::string snapshot() const;
    bool load(std::string_view bytes);

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::uint64_t value() const { return m_value; }
    /// Outcome of an operation, or null.
    [[nodiscard]] const RegisterOutcome *find(std::uint64_t operation) const;
    /// Operation id of a command.
    static std::uint64_t operationOf(std::string_view command);

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_value = 0;
    std::map<std::uint64_t, RegisterOutcome> m_outcomes;
};

} // namespace acaciafork::consensus
