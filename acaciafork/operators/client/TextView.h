#pragma once

#include <string>

#include <boost/json/value.hpp>

namespace acaciafork::operators {

/// An answer of the interface as text for a terminal: single values as `key: value` lines, each
/// list of objects as a table with a column for each key.
std::string textView(const boost::json::value &answer);

} // namespace acaciafork::operators
