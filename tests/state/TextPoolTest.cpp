#include <doctest/doctest.h>

#include "tests/state/Driver.h"

using namespace acaciafork;
using namespace acaciafork::state;

TEST_CASE("a pooled text is held once, and only for as long as it is used")
{
    TextPool pool;
    {
        PooledText<WorkerName> one(&pool, "w1");
        PooledText<WorkerName> two(&pool, "w1");
        CHECK(pool.size() == 1);
        CHECK(one.view().data() == two.view().data());
        one = PooledText<WorkerName>(&pool, "w2");
        CHECK(pool.size() == 2);
        two = one;
        CHECK(pool.size() == 1);
        const PooledText<WorkerName> moved = std::move(two);
        CHECK(WorkerName(moved) == WorkerName { "w2" });
        one = {};
        CHECK(one.empty());
        CHECK(pool.size() == 1);
    }
    CHECK(pool.size() == 0);
}
