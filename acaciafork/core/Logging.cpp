#include "acaciafork/core/Logging.h"

#include <unistd.h>

#include <spdlog/spdlog.h>

#include "acaciafork/core/JsonLines.h"
#include "acaciafork/core/LogSink.h"

namespace acaciafork {

void initLogging(const LoggingSettings &settings, const std::string &process)
{
    auto logger =
            std::make_shared<spdlog::logger>(process, std::make_shared<LogSink>(STDOUT_FILENO));
    if (settings.json)
        logger->set_formatter(std::make_unique<JsonLines>());
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
