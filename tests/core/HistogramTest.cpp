#include <doctest/doctest.h>

#include "acaciafork/core/Counters.h"

using namespace acaciafork;
using namespace std::chrono_literals;

TEST_CASE("a histogram counts each length below all bounds that it does not exceed")
{
    Histogram histogram("wait_seconds{queue=\"q\"}");
    for (const Duration it : { Duration(1ms), Duration(2ms), Duration(60s), Duration(-5ms) })
        histogram.observe(it);
    CHECK(histogram.count() == 4);
    const std::string text = histogram.prometheusText("x_");
    // A length that equals a bound is within it; a negative one counts as zero.
    CHECK(text.find("x_wait_seconds_bucket{queue=\"q\",le=\"0.001\"} 2\n") != std::string::npos);
    CHECK(text.find("x_wait_seconds_bucket{queue=\"q\",le=\"0.0025\"} 3\n") != std::string::npos);
    CHECK(text.find("x_wait_seconds_bucket{queue=\"q\",le=\"30\"} 3\n") != std::string::npos);
    CHECK(text.find("x_wait_seconds_bucket{queue=\"q\",le=\"+Inf\"} 4\n") != std::string::npos);
    CHECK(text.find("x_wait_seconds_sum{queue=\"q\"} 60.003\n") != std::string::npos);
    CHECK(text.find("x_wait_seconds_count{queue=\"q\"} 4\n") != std::string::npos);
}

TEST_CASE("histograms stand after counters, each metric with its type once")
{
    CounterRegistry registry;
    registry.histogram("call_seconds{call=\"a\"}").observe(1ms);
    registry.histogram("call_seconds{call=\"b\"}").observe(1ms);
    registry.counter("calls_total").add();
    CHECK(&registry.histogram("call_seconds{call=\"a\"}")
          == &registry.histogram("call_seconds{call=\"a\"}"));
    const std::string text = registry.prometheusText();
    CHECK(text.starts_with("# TYPE acaciafork_calls_total counter\nacaciafork_calls_total 1\n"
                           "# TYPE acaciafork_call_seconds histogram\n"));
    CHECK(text.find("# TYPE acaciafork_call_seconds")
          == text.rfind("# TYPE acaciafork_call_seconds"));
    CHECK(text.find("acaciafork_call_seconds_count{call=\"b\"} 1\n") != std::string::npos);
}
