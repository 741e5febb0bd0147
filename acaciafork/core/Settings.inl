#pragma once

namespace acaciafork {
namespace detail {

/// Strategy that sets one member of S from its text, by the member's type. Each call returns what is
/// allowed when the text is wrong, else nothing.
template <typename S>
struct FieldSetter
{
    const SettingField<S> &field;
    std::string_view text;
    S *settings;

    std::string operator()(std::int64_t S::*member) const
    {
        std::int64_t number = 0;
        if (!parseBoundedNumber(text, field.least, field.most, &number))
            return range();
        settings->*member = number;
        return {};
    }

    std::string operator()(Duration S::*member) const
    {
        std::int64_t number = 0;
        if (!parseBoundedNumber(text, field.least, field.most, &number))
            return range() + " (milliseconds)";
        settings->*member = std::chrono::milliseconds(number);
        return {};
    }

    std::string operator()(bool S::*member) const
    {
        if (text != "true" && text != "false")
            return "true or false";
        settings->*member = text == "true";
        return {};
    }

    std::string operator()(std::string S::*member) const
    {
        if (text.empty() && field.required)
            return "a text that is not empty";
        settings->*member = std::string(text);
        return {};
    }

    std::string operator()(std::vector<std::string> S::*member) const
    {
        settings->*member = splitList(text);
        if (field.required && (settings->*member).empty())
            return "at least one word";
        return {};
    }

    [[nodiscard]] std::string range() const
    {
        return "a whole number from " + std::to_string(field.least) + " to "
                + std::to_string(field.most);
    }
};

} // namespace detail

template <typename S>
Result<void> readSettings(const IniSections &sections, std::string_view file,
                          std::span<const SettingField<S>> fields, S *settings)
{
    SettingsProblems all;
    IniSections unread = sections;

    // Every field of the table: take its text out of the unread sections and check it.
    for (const SettingField<S> &field : fields) {
        const std::string section(field.section);
        const std::string key(field.key);
        auto it = unread.find(section);
        const bool present = it != unread.end() && it->second.contains(key);
        if (!present) {
            if (field.required)
                all.problems.push_back({ std::string(file), section, key, "nothing",
                                         "a value: " + std::string(field.meaning) });
            continue;
        }
        const std::string text = it->second.at(key);
        it->second.erase(key);
        const std::string allowed = std::visit(
                detail::FieldSetter<S> { .field = field, .text = text, .settings = settings },
                field.member);
        if (!allowed.empty())
            all.problems.push_back({ std::string(file), section, key, text, allowed });
    }

    // What is left over is unknown.
    for (const auto &[section, keys] : unread) {
        for (const auto &[key, text] : keys)
            all.problems.push_back({ std::string(file), section, key, text, "no such key" });
    }
    if (!all.problems.empty())
        return leaf::new_error(std::move(all));
    return {};
}

} // namespace acaciafork
