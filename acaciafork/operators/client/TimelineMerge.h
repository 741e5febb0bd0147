#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciafork/core/HybridClock.h"

namespace acaciafork::operators {

/// One event of the merged time line, as the interface gives it.
struct MergedEvent
{
    HybridTime time;
    std::uint32_t process = 0;
    std::string kind;
    std::string subject;
    std::string detail;
};

/// Merges the answers of several processes to `GET timeline`, by hybrid time, so that a cause
/// stands before its effects.
std::vector<MergedEvent> mergeTimelines(const std::vector<boost::json::value> &answers);

/// One line for each event.
std::string timelineText(const std::vector<MergedEvent> &events);

/// Chrome trace-event JSON, one instant event for each event.
std::string chromeTrace(const std::vector<MergedEvent> &events);

/// Wall-clock time as ISO 8601 in UTC, with microseconds.
std::string isoTime(std::int64_t wallMicroseconds);

} // namespace acaciafork::operators
