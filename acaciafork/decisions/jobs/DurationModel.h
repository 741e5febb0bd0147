#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "acaciafork/core/Core.h"

namespace acaciafork::jobs {

/// Learns by queue how much longer steps take than estimated.
///
/// Answers the load of estimates that are off by a factor of up to two, and of steps that last as
/// long as the slowest of their tasks. Durations are taken without the time that tasks wait for a
/// worker.
class DurationModel
{
public:
    /// Adds a step whose tasks are all done.
    /// @param[in] took duration of its longest task
    void observe(const std::string &queue, Duration estimate, Duration took);

    /// Ratio of actual to estimated duration that three of four steps of the queue stay below; at
    /// least 1, and 1 until enough steps have ended.
    [[nodiscard]] double stretch(const std::string &queue) const;

    void clear() { m_queues.clear(); }

private:
    /// Latest ratios of a queue, in a ring.
    struct Window
    {
        static constexpr std::size_t length = 64;

        std::array<float, length> ratios {};
        std::size_t count = 0;
        std::size_t next = 0;
        float upper = 1;
    };

    std::unordered_map<std::string, Window> m_queues;
};

} // namespace acaciafork::jobs
