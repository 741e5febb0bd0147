#pragma once

#include <optional>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::routing::fake {

/// One entry with credit at two endpoints in two racks. Tests send it events and inspect the
/// resulting commands.
class EntryFixture
{
public:
    explicit EntryFixture(const ServiceSettings &baseSettings = {});

    /// Returns a request with a new id and a deadline in ten seconds.
    RequestInfo request(bool idempotent = true, std::uint64_t key = 0);
    /// Sends a request to the entry.
    /// @return its first attempt, if one was started
    std::optional<StartAttempt> arrive(const RequestInfo &info);
    /// Ends an attempt as an endpoint client would report it: in phase Body, headers come first.
    void end(AttemptId attempt, AttemptPhase phase, AttemptOutcome outcome);
    /// Sends a grant of slots at an endpoint.
    void grant(const std::string &endpoint, std::uint32_t slots, std::uint64_t incarnation = 1);
    /// Returns a grant without slots that renews the lease.
    [[nodiscard]] CreditGrant emptyGrant() const;
    /// Advances the clock in steps of 10 ms, with a tick after each.
    void advance(Duration time);

    /// First command of a type since the last event, or nullptr.
    template <typename Command>
    const Command *sent() const
    {
        for (const EntryCommand &it : commands) {
            if (const auto *command = std::get_if<Command>(&it))
                return command;
        }
        return nullptr;
    }

    Timestamp now = timestampFromMicroseconds(1'000'000'000);
    EntryScheduler scheduler;
    EntryCommands commands;
    /// Number of the last grant sent.
    std::uint64_t grantNumber = 0;
    std::uint64_t reportNumber = 0;

private:
    std::uint64_t m_lastRequest = 0;
};

} // namespace acaciafork::routing::fake
