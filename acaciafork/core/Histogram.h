#pragma once

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include "acaciafork/core/Time.h"

namespace acaciafork {

/// Distribution of a length of time that a process shows at /metrics, in the Prometheus form: how
/// many were at most each bound, their sum and their number.
class Histogram
{
public:
    /// Upper bounds of the buckets in seconds; jobs end within a minute, calls within milliseconds.
    static constexpr std::array<double, 14> boundSeconds { 0.001, 0.0025, 0.005, 0.01, 0.025,
                                                           0.05,  0.1,    0.25,  0.5,  1,
                                                           2.5,   5,      10,    30 };

    /// @param[in] name metric name with labels, such as `job_seconds{queue="q"}`
    explicit Histogram(std::string name);
    ~Histogram();
    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    /// Counts one length of time; a negative one counts as zero.
    void observe(Duration length);

    [[nodiscard]] const std::string &name() const { return m_name; }
    /// How many were counted.
    [[nodiscard]] std::uint64_t count() const;
    /// Its samples as lines of the Prometheus text format, each name with the prefix.
    [[nodiscard]] std::string prometheusText(std::string_view prefix) const;

private:
    class Impl;

    std::string m_name;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciafork
