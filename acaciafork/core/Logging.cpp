#include "acaciafork/core/Logging.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace acaciafork {

void initLogging(const LoggingSettings &settings, std::string_view program, ProcessId process)
{
    const std::string name = std::string(program) + '-' + std::to_string(process.value);
    auto logger = spdlog::stdout_logger_st(name);
    if (settings.json)
        logger->set_pattern(
                R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","process":"%n","line":"%v"})",
                spdlog::pattern_time_type::utc);
    else
        logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l process=%n %v",
                            spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(settings.level));
    spdlog::set_default_logger(std::move(logger));
}

} // namespace acaciafork
