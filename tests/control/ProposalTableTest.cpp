#include <doctest/doctest.h>

#include "acaciafork/control/ProposalTable.h"

using namespace acaciafork;
using namespace acaciafork::control;

namespace {

/// Handler that notes 'a' for a result and '?' for none.
ProposalTable::Handler note(std::string *log, char name)
{
    return [log, name](Moment, const state::ApplyResult *result) {
        *log += name;
        *log += result == nullptr ? '?' : 'a';
    };
}

} // namespace

TEST_CASE("a proposal ends with the result of its own entry")
{
    ProposalTable table;
    std::string log;
    table.add({ .index = 5, .term = 2 }, note(&log, 'x'));
    table.applied({}, { .index = 4, .term = 2 }, {});
    CHECK(log.empty());
    table.applied({}, { .index = 5, .term = 2 }, {});
    CHECK(log == "xa");
    CHECK(table.size() == 0);
}

TEST_CASE("an entry of another term at its index means that the proposal is lost")
{
    ProposalTable table;
    std::string log;
    table.add({ .index = 5, .term = 2 }, note(&log, 'x'));
    table.add({ .index = 6, .term = 2 }, note(&log, 'y'));
    table.applied({}, { .index = 6, .term = 3 }, {});
    CHECK(log == "x?y?");
}

TEST_CASE("a lost leadership ends every proposal as unknown, once")
{
    ProposalTable table;
    std::string log;
    table.add({ .index = 1, .term = 1 }, note(&log, 'x'));
    table.abandon({});
    table.abandon({});
    CHECK(log == "x?");
}
