#pragma once

#include <memory>

#include <spdlog/formatter.h>

namespace acaciafork {

/// Formats each line as one JSON object: time, level and process, then one member for each
/// `key=value` word of the line. Whole numbers are numbers, all else is text; words without a key
/// are gathered in `text`.
class JsonLines : public spdlog::formatter
{
public:
    void format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &line) override;
    [[nodiscard]] std::unique_ptr<spdlog::formatter> clone() const override;
};

} // namespace acaciafork
