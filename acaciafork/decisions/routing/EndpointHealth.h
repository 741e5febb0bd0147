#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"

namespace acaciafork::routing {

/// Passive health check of one endpoint, from the results of the attempts that this entry made.
class EndpointHealth
{
public:
    /// Whether requests may go to the endpoint.
    enum class State : std::uint8_t {
        Serving, ///< takes requests
        Ejected, ///< takes none until its ejection time has passed
        Probing, ///< a probe is in progress
    };

    /// Records a successful attempt.
    void recordSuccess();

    /// Records a failure, which counts as `weight` failures.
    /// @return true when the consecutive failures have reached `ejectionFailures`, so that the
    /// endpoint should be ejected
    bool recordFailure(const ServiceSettings &settings, std::uint32_t weight);

    /// Ejects the endpoint. The ejection time doubles with each ejection in a row, up to a limit.
    void eject(Timestamp now, const ServiceSettings &settings);

    /// True when the ejection time has passed and the endpoint should be probed.
    [[nodiscard]] bool probeDue(Timestamp now) const;

    /// Records that a probe has been sent.
    void probeSent() { m_state = State::Probing; }

    /// Records the result of a probe: a success restores the endpoint, a failure ejects it again.
    void probeEnded(Timestamp now, bool reached, const ServiceSettings &settings);

    [[nodiscard]] State state() const { return m_state; }
    /// True when requests may go to the endpoint.
    [[nodiscard]] bool serving() const { return m_state == State::Serving; }

private:
    State m_state = State::Serving;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    Timestamp m_ejectedUntil;
};

} // namespace acaciafork::routing
