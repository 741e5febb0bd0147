#pragma once

#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"

namespace acaciafork::routing {

/// Decides which requests wait, in which order they are served, and which are refused. A refused
/// request gets its final answer at once.
class Admission
{
public:
    /// @param[in] state outlives the admission
    explicit Admission(EntryState *state);

    /// Takes a new request into the tables, or refuses it.
    /// @return its record, still in no queue, or nullptr when it was refused
    RequestRecord *accept(Timestamp now, const RequestInfo &info, EntryCommands *out);

    /// Lets an accepted request wait, or refuses it when it can't be served in time.
    void wait(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// Takes a request out of the queue without an answer.
    void removeFromQueue(Timestamp now, RequestRecord *record);

    /// Takes the request that should have the next free slot out of the queue, or returns nullptr.
    RequestRecord *takeNext(Timestamp now, TableIndex service);

    /// Refuses the requests of a service that waited for too long or can't be answered in time.
    void shed(Timestamp now, TableIndex service, EntryCommands *out);

    /// True when the request has to go behind others that wait.
    [[nodiscard]] bool mustWait(const RequestRecord &record) const;

    /// Gives the final answer to a request that is in no queue, and forgets it.
    void refuse(RequestRecord *record, FailureKind kind, RefusalReason reason, EntryCommands *out);

    /// Time after which a refused caller should come back.
    [[nodiscard]] Duration retryAfter(TableIndex service) const;

private:
    [[nodiscard]] Lane laneOf(const EntryService &service, const RequestRecord &record,
                              RequestClass requestClass) const;
    [[nodiscard]] Duration maxWait(Timestamp now, const RequestRecord &record) const;

    EntryState *m_state;
};

} // namespace acaciafork::routing
