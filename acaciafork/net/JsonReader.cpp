#include "acaciafork/net/JsonReader.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace acaciafork::net {

namespace json = boost::json;

namespace {

/// Levels of arrays and objects that withoutDeepValues() keeps; fewer than the parser takes.
constexpr std::size_t keptLevels = 16;

} // namespace

Result<json::object> parseJsonObject(std::string_view text)
{
    boost::system::error_code ec;
    json::value value = json::parse(text, ec);
    if (ec)
        return fail(FailureKind::InvalidArgument, "malformed JSON: " + ec.message());
    if (!value.is_object())
        return fail(FailureKind::InvalidArgument, "JSON: allowed is an object");
    return std::move(value.get_object());
}

std::optional<json::object> findJsonObject(std::string_view text)
{
    return leaf::try_handle_all(
            [&]() -> Result<std::optional<json::object>> {
                BOOST_LEAF_AUTO(object, parseJsonObject(text));
                return std::optional(std::move(object));
            },
            [] { return std::optional<json::object>(); });
}

std::string withoutDeepValues(std::string_view text)
{
    std::string kept;
    kept.reserve(text.size());
    std::size_t depth = 0;
    bool isQuoted = false;
    bool isEscaped = false;
    for (const char it : text) {
        const std::size_t before = depth;
        if (isQuoted) {
            isQuoted = isEscaped || it != '"';
            isEscaped = !isEscaped && it == '\\';
        } else if (it == '"') {
            isQuoted = true;
        } else if (it == '[' || it == '{') {
            ++depth;
        } else if ((it == ']' || it == '}') && depth > 0) {
            --depth;
        }
        if (std::max(before, depth) <= keptLevels)
            kept += it;
        else if (before == keptLevels)
            kept += "null";
    }
    return kept;
}

const json::value *JsonReader::find(std::string_view key)
{
    return m_object.if_contains(key);
}

void JsonReader::refuse(std::string_view key, std::string_view allowed)
{
    if (m_problem.empty())
        m_problem = "field " + std::string(key) + ": allowed is " + std::string(allowed);
}

std::string JsonReader::text(std::string_view key, std::size_t most)
{
    std::string found = optionalText(key, most);
    if (found.empty())
        refuse(key, "text of 1 to " + std::to_string(most) + " bytes");
    return found;
}

std::string JsonReader::optionalText(std::string_view key, std::size_t most)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return {};
    if (!value->is_string() || value->get_string().size() > most) {
        refuse(key, "text of at most " + std::to_string(most) + " bytes");
        return {};
    }
    return std::string(value->get_string());
}

std::int64_t JsonReader::number(std::string_view key, std::int64_t least, std::int64_t most)
{
    const json::value *value = find(key);
    boost::system::error_code ec;
    const std::int64_t n = value != nullptr ? value->to_number<std::int64_t>(ec) : 0;
    if (value == nullptr || ec || n < least || n > most) {
        refuse(key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return least;
    }
    return n;
}

std::int64_t JsonReader::optionalNumber(std::string_view key, std::int64_t least, std::int64_t most,
                                        std::int64_t absent)
{
    return find(key) == nullptr ? absent : number(key, least, most);
}

double JsonReader::optionalReal(std::string_view key, double absent, double most)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return absent;
    const double n = value->is_number() ? value->to_number<double>() : -1;
    if (n < 0 || n > most) {
        refuse(key, "a number from 0 to " + std::to_string(most));
        return absent;
    }
    return n;
}

bool JsonReader::optionalFlag(std::string_view key)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return false;
    if (!value->is_bool()) {
        refuse(key, "true or false");
        return false;
    }
    return value->get_bool();
}

Address JsonReader::address(std::string_view key)
{
    const std::string found = text(key);
    Address address = leaf::try_handle_all([&]() -> Result<Address> { return parseAddress(found); },
                                           [] { return Address(); });
    // Port 0 is for listeners, which get one from the system.
    if (address.port == 0)
        refuse(key, "an IP number and port");
    return address;
}

std::size_t JsonReader::choice(std::string_view key, std::initializer_list<std::string_view> words)
{
    const std::string found = text(key);
    const auto *it = std::find(words.begin(), words.end(), found);
    if (it != words.end())
        return static_cast<std::size_t>(it - words.begin());
    std::string allowed;
    for (const auto word : words)
        allowed += (allowed.empty() ? "" : " or ") + std::string(word);
    refuse(key, allowed);
    return 0;
}

const json::array *JsonReader::optionalArray(std::string_view key)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return nullptr;
    if (!value->is_array()) {
        refuse(key, "an array");
        return nullptr;
    }
    return &value->get_array();
}

const json::object *JsonReader::optionalObject(std::string_view key)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return nullptr;
    if (!value->is_object()) {
        refuse(key, "an object");
        return nullptr;
    }
    return &value->get_object();
}

Result<void> JsonReader::check() const
{
    if (!isGood())
        return fail(FailureKind::InvalidArgument, m_problem);
    return {};
}

} // namespace acaciafork::net
