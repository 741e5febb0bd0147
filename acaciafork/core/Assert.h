#pragma once

namespace acaciafork {

/// Reports a broken invariant on standard error and aborts the process.
[[noreturn]] void failAssertion(const char *expression, const char *file, int line);

} // namespace acaciafork

/// Checks an invariant in every build: a process that has lost one must not carry on.
#define ACACIAFORK_ASSERT(expression) \
    ((expression) ? void(0) : ::acaciafork::failAssertion(#expression, __FILE__, __LINE__))
