#include "acaciafork/operators/JsonFields.h"

#include <boost/json.hpp>

#include "acaciafork/operators/ApiCall.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

constexpr std::size_t deepestNesting = 16;

/// The whole number that a value holds, if it is one and not negative.
bool wholeNumber(const json::value &value, std::uint64_t *number)
{
    if (value.is_uint64()) {
        *number = value.get_uint64();
        return true;
    }
    if (value.is_int64() && value.get_int64() >= 0) {
        *number = static_cast<std::uint64_t>(value.get_int64());
        return true;
    }
    return false;
}

} // namespace

Result<json::object> parseObject(std::string_view body)
{
    if (body.size() > largestBody)
        return fail(FailureKind::TooLarge,
                    "the body has more than " + std::to_string(largestBody) + " bytes");
    boost::system::error_code ec;
    json::parse_options options;
    options.max_depth = deepestNesting;
    json::value value = json::parse(body, ec, json::storage_ptr(), options);
    if (ec)
        return fail(FailureKind::InvalidArgument, "malformed JSON: " + ec.message());
    if (!value.is_object())
        return fail(FailureKind::InvalidArgument, "the body must be a JSON object");
    return std::move(value.get_object());
}

JsonFields::JsonFields(const json::object &object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{ }

std::string JsonFields::text(std::string_view key)
{
    const json::value *value = take(key);
    if (value == nullptr || !value->is_string() || value->get_string().empty()) {
        refuse(key, "must be a text");
        return {};
    }
    return std::string(value->get_string());
}

std::string JsonFields::optionalText(std::string_view key)
{
    const json::value *value = take(key);
    if (value == nullptr)
        return {};
    if (!value->is_string()) {
        refuse(key, "must be a text");
        return {};
    }
    return std::string(value->get_string());
}

std::uint64_t JsonFields::number(std::string_view key, std::uint64_t least, std::uint64_t most,
                                 std::uint64_t absent)
{
    const json::value *value = take(key);
    if (value == nullptr)
        return absent;
    std::uint64_t number = 0;
    if (!wholeNumber(*value, &number) || number < least || number > most) {
        refuse(key,
               "must be a whole number from " + std::to_string(least) + " to "
                       + std::to_string(most));
        return absent;
    }
    return number;
}

std::uint64_t JsonFields::requiredNumber(std::string_view key, std::uint64_t most)
{
    if (!m_object.contains(key))
        refuse(key, "is missing");
    return number(key, 0, most, 0);
}

bool JsonFields::flag(std::string_view key)
{
    const json::value *value = take(key);
    if (value == nullptr)
        return false;
    if (!value->is_bool())
        refuse(key, "must be true or false");
    return value->is_bool() && value->get_bool();
}

std::vector<std::string> JsonFields::texts(std::string_view key)
{
    std::vector<std::string> list;
    const json::value *value = take(key);
    if (value == nullptr)
        return list;
    if (!value->is_array()) {
        refuse(key, "must be a list of texts");
        return list;
    }
    for (const json::value &it : value->get_array()) {
        if (it.is_string())
            list.emplace_back(it.get_string());
        else
            refuse(key, "must be a list of texts");
    }
    return list;
}

std::vector<const json::object *> JsonFields::objects(std::string_view key)
{
    std::vector<const json::object *> list;
    const json::value *value = take(key);
    if (value == nullptr)
        return list;
    if (!value->is_array()) {
        refuse(key, "must be a list of objects");
        return list;
    }
    for (const json::value &it : value->get_array()) {
        if (it.is_object())
            list.push_back(&it.get_object());
        else
            refuse(key, "must be a list of objects");
    }
    return list;
}

const json::object *JsonFields::object(std::string_view key)
{
    const json::value *value = take(key);
    if (value == nullptr)
        return nullptr;
    if (!value->is_object())
        refuse(key, "must be an object");
    return value->if_object();
}

void JsonFields::refuse(std::string_view key, std::string_view what)
{
    if (m_problem.empty())
        m_problem = m_path + std::string(key) + ": " + std::string(what);
}

void JsonFields::absorb(const JsonFields &inner)
{
    if (m_problem.empty())
        m_problem = inner.problem();
}

std::string JsonFields::pathOf(std::string_view key, std::size_t index) const
{
    return m_path + std::string(key) + '[' + std::to_string(index) + "].";
}

std::string JsonFields::problem() const
{
    if (!m_problem.empty())
        return m_problem;
    for (const auto &it : m_object) {
        if (!m_taken.contains(std::string_view(it.key())))
            return m_path + std::string(it.key()) + ": no such field";
    }
    return {};
}

Result<void> JsonFields::finish() const
{
    if (std::string found = problem(); !found.empty())
        return fail(FailureKind::InvalidArgument, std::move(found));
    return {};
}

const json::value *JsonFields::take(std::string_view key)
{
    m_taken.emplace(key);
    return m_object.if_contains(key);
}

} // namespace acaciafork::operators
