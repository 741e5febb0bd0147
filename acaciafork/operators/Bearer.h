#pragma once

#include <string_view>

namespace acaciafork::operators {

/// Token of an Authorization header such as `Bearer abc`; empty for any other header.
std::string_view bearerToken(std::string_view authorization);

/// Token as a file holds it, without the white space around it.
std::string_view trimmedToken(std::string_view text);

} // namespace acaciafork::operators
