#include "Register.h"

#include <array>
#include <cstring>

namespace acaciafork::consensus {

namespace {

/// Bytes of the numbers in native byte order.
template <std::size_t N>
std::string pack(const std::array<std::uint64_t, N> &numbers)
{
    return { reinterpret_cast<const char *>(numbers.data()), sizeof(numbers) };
}

/// Reads the number at index `it` from packed numbers.
std::uint64_t unpack(std::string_view bytes, std::size_t it)
{
    std::uint64_t number = 0;
    std::memcpy(&number, bytes.data() + it * sizeof(number), sizeof(number));
    return number;
}

constexpr std::size_t wordSize = sizeof(std::uint64_t);

} // namespace

std::string Register::command(std::uint64_t operation, std::uint64_t expected, std::uint64_t value)
{
    return pack<3>({ operation, expected, value });
}

std::uint64_t Register::operationOf(std::string_view command)
{
    return unpack(command, 0);
}

RegisterOutcome Register::apply(std::string_view command)
{
    const std::uint64_t operation = unpack(command, 0);
    const std::uint64_t expected = unpack(command, 1);
    if (const auto found = m_outcomes.find(operation); found != m_outcomes.end())
        return found->second;
    const bool changed = expected == 0 || expected == m_value;
    if (changed) {
        m_value = unpack(command, 2);
        ++m_version;
    }
    return m_outcomes[operation] = { changed, m_version, m_value };
}

const RegisterOutcome *Register::find(std::uint64_t operation) const
{
    const auto found = m_outcomes.find(operation);
    return found == m_outcomes.end() ? nullptr : &found->second;
}

std::string Register::snapshot() const
{
    std::string bytes = pack<2>({ m_version, m_value });
    for (const auto &[operation, it] : m_outcomes)
        bytes += pack<4>({ operation, it.changed ? 1ULL : 0ULL, it.version, it.value });
    return bytes;
}

bool Register::load(std::string_view bytes)
{
    if (bytes.size() < 2 * wordSize || (bytes.size() - 2 * wordSize) % (4 * wordSize) != 0)
        return false;
    m_version = unpack(bytes, 0);
    m_value = unpack(bytes, 1);
    m_outcomes.clear();
    for (bytes.remove_prefix(2 * wordSize); !bytes.empty(); bytes.remove_prefix(4 * wordSize))
        m_outcomes[unpack(bytes, 0)] = { unpack(bytes, 1) != 0, unpack(bytes, 2),
                                         unpack(bytes, 3) };
    return true;
}

} // namespace acaciafork::consensus
