#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "acaciafork/core/Failure.h"

namespace acaciafork::operators {

/// Parses a JSON object with bounds on size and depth.
/// Fails with Failure of kind InvalidArgument or TooLarge.
Result<boost::json::object> parseObject(std::string_view body);

/// Reads the fields of one JSON object, typed and bounded. The first thing wrong is kept and comes
/// out of finish(); so does a field that nobody asked for.
class JsonFields
{
public:
    /// @param[in] path where the object stands, such as "services[0]."; empty for the whole body
    explicit JsonFields(const boost::json::object &object, std::string path = {});

    /// Text that must be there.
    std::string text(std::string_view key);
    /// Text that may be missing.
    std::string optionalText(std::string_view key);
    /// Whole number in [least, most]; `absent` when it is missing.
    std::uint64_t number(std::string_view key, std::uint64_t least, std::uint64_t most,
                         std::uint64_t absent);
    /// Whole number in [0, most] that must be there.
    std::uint64_t requiredNumber(std::string_view key, std::uint64_t most);
    /// True or false; false when it is missing.
    bool flag(std::string_view key);
    /// Texts; none when it is missing.
    std::vector<std::string> texts(std::string_view key);
    /// Objects of a list; none when it is missing.
    std::vector<const boost::json::object *> objects(std::string_view key);
    /// Object of a field, or nullptr when it is missing.
    const boost::json::object *object(std::string_view key);

    /// Records a problem with a field, if it is the first.
    void refuse(std::string_view key, std::string_view what);
    /// Takes over the problem of an object inside this one.
    void absorb(const JsonFields &inner);

    /// Where an element of a list stands.
    [[nodiscard]] std::string pathOf(std::string_view key, std::size_t index) const;

    /// The first problem, with unknown fields counted in; empty when there is none.
    [[nodiscard]] std::string problem() const;

    /// Fails with Failure of kind InvalidArgument when there was a problem.
    [[nodiscard]] Result<void> finish() const;

private:
    const boost::json::value *take(std::string_view key);

    const boost::json::object &m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_taken;
    std::string m_problem;
};

} // namespace acaciafork::operators
