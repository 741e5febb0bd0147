#pragma once

#include <map>
#include <string>
#include <string_view>

#include "acaciafork/core/Core.h"

namespace acaciafork::consensus {

/// What a command did to the register.
struct RegisterOutcome
{
    /// The value was changed.
    bool changed = false;
    /// Version and value after the command.
    std::uint64_t version = 0;
    std::uint64_t value = 0;

    bool operator==(const RegisterOutcome &) const = default;
};

/// State machine of the tests: one register with a version, and the first outcome of every
/// operation by its id, so that a resent one changes nothing.
class Register
{
public:
    /// Bytes of a write, or of a compare-and-set if `expected` is not 0.
    static std::string command(std::uint64_t operation, std::uint64_t expected,
                               std::uint64_t value);

    /// Carries out a command.
    RegisterOutcome apply(std::string_view command);
    [[nodiscard]] std::string snapshot() const;
    bool load(std::string_view bytes);

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::uint64_t value() const { return m_value; }
    /// Outcome of an operation, or null.
    [[nodiscard]] const RegisterOutcome *find(std::uint64_t operation) const;
    /// Operation that a command carries out.
    static std::uint64_t operationOf(std::string_view command);

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_value = 0;
    std::map<std::uint64_t, RegisterOutcome> m_outcomes;
};

} // namespace acaciafork::consensus
