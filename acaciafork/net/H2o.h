#pragma once

/// The h2o headers as the whole library includes them; private to it.

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>

#include <string_view>

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
