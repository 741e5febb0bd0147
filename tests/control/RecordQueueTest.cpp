#include <vector>

#include <doctest/doctest.h>

#include "acaciafork/control/RecordQueue.h"

using namespace acaciafork::control;

namespace {

std::vector<int> takeAll(RecordQueue<int> *queue)
{
    std::vector<int> records;
    while (const std::optional<int> it = queue->takeCommitted())
        records.push_back(*it);
    return records;
}

} // namespace

TEST_CASE("a record that is refused holds those after it")
{
    RecordQueue<int> queue;
    queue.add(1);
    queue.proposalFailed(queue.beginProposal());
    queue.add(2);
    REQUIRE(queue.next() != nullptr);
    CHECK(*queue.next() == 1);
}

TEST_CASE("records after one of unknown outcome are proposed again behind it")
{
    RecordQueue<int> queue;
    for (const int it : { 1, 2, 3 })
        queue.add(it);
    const std::uint64_t first = queue.beginProposal();
    const std::uint64_t second = queue.beginProposal();
    const std::uint64_t third = queue.beginProposal();
    CHECK(queue.next() == nullptr);
    queue.proposalCommitted(first);
    CHECK(takeAll(&queue) == std::vector { 1 });
    CHECK(queue.proposalFailed(second));
    // An outcome of the proposal before says nothing about the one to come.
    queue.proposalCommitted(third);
    CHECK_FALSE(queue.proposalFailed(third));
    CHECK(takeAll(&queue).empty());
    REQUIRE(queue.next() != nullptr);
    CHECK(*queue.next() == 2);
    const std::uint64_t again = queue.beginProposal();
    const std::uint64_t thirdAgain = queue.beginProposal();
    queue.proposalCommitted(thirdAgain);
    CHECK(takeAll(&queue).empty());
    queue.proposalCommitted(again);
    CHECK(takeAll(&queue) == std::vector { 2, 3 });
    CHECK(queue.isEmpty());
}

TEST_CASE("outcomes of proposals before a clear say nothing about later records")
{
    RecordQueue<int> queue;
    queue.add(1);
    const std::uint64_t before = queue.beginProposal();
    queue.clear();
    queue.add(2);
    queue.beginProposal();
    queue.proposalCommitted(before);
    CHECK_FALSE(queue.proposalFailed(before));
    CHECK(takeAll(&queue).empty());
}
