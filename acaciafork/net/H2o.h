#pragma once

/// The h2o headers as the whole library includes them; private to it.

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>

#include <cstddef>
#include <string_view>

/// Header as the parser inside h2o gives it.
struct phr_header // NOLINT(readability-identifier-naming)
{
    const char *name;
    std::size_t name_len; // NOLINT(readability-identifier-naming)
    const char *value;
    std::size_t value_len; // NOLINT(readability-identifier-naming)
};

/// The request parser inside h2o, which the library exports without a header.
/// @return bytes of the head, -1 when it is malformed, -2 when it is not complete
extern "C" int phr_parse_request(const char *buf, std::size_t len, // NOLINT
                                 const char **method, std::size_t *methodLength, const char **path,
                                 std::size_t *pathLength, int *minorVersion, phr_header *headers,
                                 std::size_t *headerCount, std::size_t lastLength);

namespace acaciafork::net {

/// View of the bytes of an h2o vector.
inline std::string_view view(const h2o_iovec_t &vec)
{
    return { vec.base, vec.len };
}

/// h2o vector over the bytes of a view; h2o does not write through it.
inline h2o_iovec_t iovec(std::string_view text)
{
    return { const_cast<char *>(text.data()), text.size() };
}

} // namespace acaciafork::net
