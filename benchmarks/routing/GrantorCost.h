#pragma once

namespace acaciafork::routing::bench {

/// Mean cost of the grantor's events, in microseconds.
struct GrantorCost
{
    int endpoints = 0;
    int entries = 0;
    double announcementUs = 0;
    double reportUs = 0;
    double tickUs = 0;
};

/// Measures the events of a grantor whose entries hold all slots and change nothing.
GrantorCost measureGrantorCost(int endpoints, int entries);

} // namespace acaciafork::routing::bench
