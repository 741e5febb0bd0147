#include "acaciafork/operators/client/TextView.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <boost/json.hpp>

#include "acaciafork/operators/client/TimelineMerge.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

/// Longest text shown in a cell; a longer one is cut.
constexpr std::size_t widestCell = 120;

/// One value in a cell or behind a key: texts bare, times readable, the rest as JSON.
std::string cellOf(std::string_view key, const json::value &value)
{
    if (key.ends_with("Us") && value.is_int64() && value.get_int64() > 0)
        return isoTime(value.get_int64());
    std::string text;
    if (value.is_string())
        text = std::string(value.get_string());
    else if (value.is_array())
        text = std::to_string(value.get_array().size()) + " items";
    else if (value.is_object()) {
        for (const auto &it : value.get_object())
            text += (text.empty() ? "" : " ") + std::string(it.key()) + '='
                    + cellOf(it.key(), it.value());
    } else
        text = json::serialize(value);
    text = text.substr(0, text.find('\n'));
    if (text.size() > widestCell)
        text = text.substr(0, widestCell - 3) + "...";
    return text.empty() ? "-" : text;
}

/// Title of a key: a time is shown readable, so its unit is left out.
std::string titleOf(std::string_view key)
{
    return std::string(key.ends_with("Us") ? key.substr(0, key.size() - 2) : key);
}

bool isTable(const json::value &value)
{
    const json::array *list = value.if_array();
    return list != nullptr && (list->empty() || list->front().is_object());
}

using Row = std::vector<std::string>;

/// Rows as text, columns padded to the widest cell.
std::string alignRows(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const Row &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

/// A list of objects: the keys of all of them, in the order first seen, are the columns.
std::string tableOf(const json::array &list)
{
    Row keys;
    for (const json::value &it : list) {
        for (const auto &field : it.as_object()) {
            if (std::find(keys.begin(), keys.end(), field.key()) == keys.end())
                keys.emplace_back(field.key());
        }
    }
    Row titles;
    std::transform(keys.begin(), keys.end(), std::back_inserter(titles), titleOf);
    std::vector<Row> rows { std::move(titles) };
    for (const json::value &it : list) {
        Row row;
        for (const std::string &key : keys) {
            const json::value *value = it.get_object().if_contains(key);
            row.push_back(value == nullptr ? "-" : cellOf(key, *value));
        }
        rows.push_back(std::move(row));
    }
    return alignRows(rows);
}

} // namespace

std::string textView(const json::value &answer)
{
    if (!answer.is_object())
        return json::serialize(answer) + '\n';
    std::vector<Row> values;
    std::string tables;
    for (const auto &it : answer.get_object()) {
        if (!isTable(it.value())) {
            values.push_back({ titleOf(it.key()) + ':', cellOf(it.key(), it.value()) });
            continue;
        }
        const json::array &list = it.value().get_array();
        tables += (values.empty() && tables.empty() ? "" : "\n") + std::string(it.key()) + " ("
                + std::to_string(list.size()) + ")\n";
        if (!list.empty())
            tables += tableOf(list);
    }
    return alignRows(values) + tables;
}

} // namespace acaciafork::operators
