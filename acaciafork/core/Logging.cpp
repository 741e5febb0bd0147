#include "acaciafork/core/Logging.h"

#include <unistd.h>

#include <spdlog/spdlog.h>

#include "acaciafork/core/LogSink.h"

namespace acaciafork {

void initLogging(const LoggingSettings &settings, std::string_view program, ProcessId process)
{
    const std::string name = std::string(program) + '-' + std::to_string(process.value);
    auto logger = std::make_shared<spdlog::logger>(name, std::make_shared<LogSink>(STDOUT_FILENO));
    if (settings.json)
        logger->set_pattern(
                R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","process":"%n","line":"%v"})",
                spdlog::pattern_time_type::utc);
    else
        logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l process=%n %v",
                            spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::warn);
    logger->set_level(spdlog::level::from_str(settings.level));
    spdlog::set_default_logger(std::move(logger));
}

void flushLog()
{
    spdlog::default_logger_raw()->flush();
}

} // namespace acaciafork
