#pragma once

#include <optional>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::routing::fake {

/// One entry with credit at two endpoints in two racks, and a hand on every event.
class EntryFixture
{
public:
    explicit EntryFixture(const ServiceSettings &baseSettings = {});

    /// A request with a fresh id; it has ten seconds.
    RequestInfo request(bool idempotent = true, std::uint64_t key = 0);
    /// Puts a request and returns its first attempt, if one started.
    std::optional<StartAttempt> arrive(const RequestInfo &info);
    /// Ends an attempt the way a port would report it: with headers before them where they came.
    void end(AttemptId attempt, AttemptPhase phase, AttemptOutcome outcome);
    /// A grant of slots at an endpoint.
    void grant(const std::string &endpoint, std::uint32_t slots, std::uint64_t incarnation = 1);
    /// A grant of nothing that renews the lease.
    [[nodiscard]] CreditGrant emptyGrant() const;
    void advance(Duration time);

    /// The first command of a kind since the last event, or nullptr.
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
    /// Grants in force, by number.
    std::uint64_t grantNumber = 0;
    std::uint64_t reportNumber = 0;

private:
    std::uint64_t m_lastRequest = 0;
};

} // namespace acaciafork::routing::fake
