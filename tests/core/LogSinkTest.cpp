#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <spdlog/spdlog.h>

#include "acaciafork/core/LogSink.h"

using namespace acaciafork;

TEST_CASE("a log whose reader stands still is cut, and never waits")
{
    int ends[2] = { -1, -1 };
    REQUIRE(::pipe(ends) == 0);
    const auto sink = std::make_shared<LogSink>(ends[1]);
    spdlog::logger logger("test", sink);
    const std::string text(200, 'x');
    // Far more than the pipe and the sink hold: a write that waits would hang here.
    for (int it = 0; it < 10'000; ++it)
        logger.info(text);
    logger.flush();
    CHECK(sink->dropped() > 0);

    // Once it reads again, lines come whole and the loss is told.
    std::string read;
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    char buf[65'536];
    for (int it = 0; it < 200; ++it) {
        const ssize_t n = ::read(ends[0], buf, sizeof(buf));
        if (n > 0)
            read.append(buf, static_cast<std::size_t>(n));
        logger.flush();
    }
    CHECK(read.find("event=log-lines-dropped total=") != std::string::npos);
    CHECK(read.size() > LogSink::mostWaiting);
    ::close(ends[0]);
    ::close(ends[1]);
}
