#include "benchmarks/batch/CountingAllocator.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace acaciafork::batch::fakes {

std::int64_t heldBytes = 0;
bool insideScheduler = false;

} // namespace acaciafork::batch::fakes

// Counting replacements of the global operators, for the measuring program only.
void *operator new(std::size_t size)
{
    void *p = std::malloc(size);
    if (p == nullptr)
        std::abort();
    if (acaciafork::batch::fakes::insideScheduler)
        acaciafork::batch::fakes::heldBytes += static_cast<std::int64_t>(malloc_usable_size(p));
    return p;
}

void operator delete(void *p) noexcept
{
    if (acaciafork::batch::fakes::insideScheduler && p != nullptr)
        acaciafork::batch::fakes::heldBytes -= static_cast<std::int64_t>(malloc_usable_size(p));
    std::free(p);
}

void operator delete(void *p, std::size_t /*size*/) noexcept
{
    operator delete(p);
}
