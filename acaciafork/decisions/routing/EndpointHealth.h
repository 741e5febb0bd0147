#pragma once

#include <cstdint>

#include "acaciafork/core/Time.h"
#include "acaciafork/decisions/routing/RoutingSettings.h"

namespace acaciafork::routing {

/// Passive health of one endpoint, judged from the attempts that this entry made.
class EndpointHealth
{
public:
    /// Whether requests may go to the endpoint.
    enum class State : std::uint8_t {
        Serving, ///< takes requests
        Ejected, ///< takes none until its time is over
        Probing, ///< a probe is under way, or one request is let through
    };

    /// Notes a good answer.
    void recordSuccess();

    /// Notes a failure, which counts as `weight` failures.
    /// @return true when failures in a row have reached the bound and the endpoint should be
    /// ejected
    bool recordFailure(const ServiceSettings &settings, std::uint32_t weight);

    /// Takes the endpoint out until its ejection time is over.
    void eject(Timestamp now, const ServiceSettings &settings);

    /// True when an ejected endpoint's time is over and it should be probed.
    [[nodiscard]] bool probeDue(Timestamp now) const;

    /// Notes that a probe has been sent.
    void probeSent() { m_state = State::Probing; }

    /// Notes how the probe ended: a good one puts the endpoint back into service.
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
