#include "acaciafork/operators/Bearer.h"

namespace acaciafork::operators {

std::string_view bearerToken(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return {};
    return trimmedToken(authorization.substr(scheme.size()));
}

std::string_view trimmedToken(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace acaciafork::operators
