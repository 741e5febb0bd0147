#include "acaciafork/core/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace acaciafork {

void failAssertion(const char *expression, const char *file, int line)
{
    std::fprintf(stderr, "assertion failed: %s at %s:%d\n", expression, file, line);
    std::abort();
}

} // namespace acaciafork
