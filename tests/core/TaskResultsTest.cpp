#include <array>
#include <map>
#include <string>

#include <doctest/doctest.h>

#include "acaciafork/core/Random.h"
#include "acaciafork/core/TaskResults.h"

using namespace acaciafork;

TEST_CASE("results of tasks are those of one flag per task, in any order, and survive a restart")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RandomGenerator random(seed);
        const auto occurrences = static_cast<std::uint32_t>(1 + random() % 12);
        const auto tasks = static_cast<std::uint32_t>(1 + random() % 20);
        std::string flags(std::size_t { occurrences } * tasks, '\0');
        TaskResults results(occurrences, tasks);
        const std::size_t n = random() % (3 * flags.size());
        for (std::size_t it = 0; it < n; ++it) {
            const std::size_t position = random() % flags.size();
            const bool isNew = flags[position] == 0;
            flags[position] = 1;
            CHECK(results.markDone(static_cast<std::uint32_t>(position / tasks),
                                   static_cast<std::uint32_t>(position % tasks))
                  == isNew);
        }
        std::map<std::uint32_t, IndexSet> open;
        for (const auto &[occurrence, done] : results.open())
            open[occurrence] = IndexSet::restore(done.below(), done.bitmap());
        TaskResults restored(occurrences, tasks);
        REQUIRE(restored.restore(
                IndexSet::restore(results.ended().below(), results.ended().bitmap()),
                std::move(open)));
        const TaskResults converted = TaskResults::fromFlags(occurrences, tasks, flags);
        for (const TaskResults *it :
             std::array<const TaskResults *, 3> { &results, &restored, &converted }) {
            std::size_t done = 0;
            for (std::size_t position = 0; position < flags.size(); ++position) {
                const bool isDone = it->isDone(static_cast<std::uint32_t>(position / tasks),
                                               static_cast<std::uint32_t>(position % tasks));
                CHECK(isDone == (flags[position] != 0));
                done += isDone ? 1 : 0;
            }
            CHECK(it->doneCount() == done);
            CHECK(it->isComplete() == (done == flags.size()));
        }
    }
}

TEST_CASE("results take memory for the occurrences at work only")
{
    // Guards against members whose memory follows the runs that a schedule has to come.
    TaskResults results(100'000, 1000);
    CHECK(results.bytes() == 0);
    for (std::uint32_t occurrence = 0; occurrence < 1000; ++occurrence) {
        for (std::uint32_t task = 0; task < 1000; ++task)
            results.markDone(occurrence, task);
        CHECK(results.bytes() < 1000);
    }
}

TEST_CASE("results of another job are not restored")
{
    TaskResults results(2, 3);
    CHECK_FALSE(results.restore(IndexSet::restore(3, {}), {}));
    CHECK_FALSE(results.restore({}, { { 2, IndexSet::restore(1, {}) } }));
    CHECK_FALSE(results.restore({}, { { 0, IndexSet::restore(3, {}) } }));
    CHECK_FALSE(results.restore({}, { { 0, IndexSet::restore(1, "\x08") } }));
    CHECK_FALSE(results.restore(IndexSet::restore(1, {}), { { 0, IndexSet::restore(1, {}) } }));
    CHECK(results.restore(IndexSet::restore(1, {}), { { 1, IndexSet::restore(1, {}) } }));
}
