#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "acaciafork/core/Failure.h"
#include "acaciafork/net/Address.h"

namespace acaciafork::net {

/// Parses a JSON object. Fails with Failure InvalidArgument.
Result<boost::json::object> parseJsonObject(std::string_view text);

/// The object, or none when the text is no JSON object: for answers of which only some have a body.
std::optional<boost::json::object> findJsonObject(std::string_view text);

/// The JSON text with null in place of all that is nested too deeply to be parsed, so that one such
/// value does not make the rest unreadable.
std::string withoutDeepValues(std::string_view text);

/// Reads typed fields out of one JSON object. The first thing wrong is kept and names its field, so
/// that a decoder reads all fields in a row and checks once.
class JsonReader
{
public:
    /// @param[in] object outlives the reader
    explicit JsonReader(const boost::json::object &object)
        : m_object(object)
    { }

    /// Text of 1 to `most` bytes.
    std::string text(std::string_view key, std::size_t most = 256);
    /// Text that may be absent or empty.
    std::string optionalText(std::string_view key, std::size_t most = 4'096);
    /// Whole number from `least` to `most`.
    std::int64_t number(std::string_view key, std::int64_t least, std::int64_t most);
    /// Whole number that is `absent` when the key is not there.
    std::int64_t optionalNumber(std::string_view key, std::int64_t least, std::int64_t most,
                                std::int64_t absent);
    /// Whole number from 0 to `most`; 0 when absent.
    std::int64_t optionalCount(std::string_view key, std::int64_t most = INT64_MAX)
    {
        return optionalNumber(key, 0, most, 0);
    }
    /// Number from 0 to `most`, whole or not; `absent` when the key is not there.
    double optionalReal(std::string_view key, double absent = 0, double most = UINT32_MAX);
    /// Whole milliseconds of a number from 0 to 2^32 - 1; 0 when absent.
    std::uint32_t optionalMilliseconds(std::string_view key)
    {
        return static_cast<std::uint32_t>(optionalReal(key));
    }
    /// False when absent.
    bool optionalFlag(std::string_view key);
    /// IP number and port, one that can be connected to.
    Address address(std::string_view key);
    /// Index of the word that stands there among those allowed.
    std::size_t choice(std::string_view key, std::initializer_list<std::string_view> words);
    /// Array, or null when it is absent.
    const boost::json::array *optionalArray(std::string_view key);
    /// Object, or null when it is absent.
    const boost::json::object *optionalObject(std::string_view key);

    /// Keeps a field as wrong for a reason that its reader alone knows.
    void refuse(std::string_view key, std::string_view allowed);

    /// True while nothing wrong was met.
    [[nodiscard]] bool isGood() const { return m_problem.empty(); }
    /// Fails with the first Failure met, InvalidArgument.
    Result<void> check() const;

private:
    const boost::json::value *find(std::string_view key);

    const boost::json::object &m_object;
    std::string m_problem;
};

} // namespace acaciafork::net
