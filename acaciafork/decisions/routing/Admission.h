#pragma once

#include "acaciafork/decisions/routing/EntryCommands.h"
#include "acaciafork/decisions/routing/EntryState.h"

namespace acaciafork::routing {

/// Admission control of an entry: decides which requests are queued, in which order they are served
/// and which are refused. A refused request gets its final answer at once.
class Admission
{
public:
    /// @param[in] state must outlive this object
    explicit Admission(EntryState *state);

    /// Adds a new request to the tables, or refuses it.
    /// @return its record, not yet queued, or nullptr when it was refused or its id is known
    /// already
    RequestRecord *accept(Timestamp now, const RequestInfo &info, EntryCommands *out);

    /// Queues an accepted request, or refuses it when it can't be served in time.
    void enqueue(Timestamp now, RequestRecord *record, EntryCommands *out);

    /// Removes a request from the queue without answering it.
    void removeFromQueue(Timestamp now, RequestRecord *record);

    /// Removes the request that gets the next free slot from the queue.
    /// @return the request, or nullptr when none may start
    RequestRecord *takeNext(Timestamp now, TableIndex service);

    /// Load shedding: refuses the queued requests of a service that have waited too long or can't
    /// be answered before their deadlines.
    void shed(Timestamp now, TableIndex service, EntryCommands *out);

    /// True when the request has to be queued, for lack of a slot or because others are ahead of
    /// it.
    [[nodiscard]] bool mustWait(const RequestRecord &record) const;

    /// Sends the final answer to a request that is not queued, and removes its record.
    void refuse(RequestRecord *record, FailureKind kind, RefusalReason reason, EntryCommands *out);

    /// Time after which a refused caller should retry.
    [[nodiscard]] Duration retryAfter(TableIndex service) const;

private:
    [[nodiscard]] Lane laneOf(const EntryService &service, const RequestRecord &record,
                              RequestClass requestClass) const;
    [[nodiscard]] Duration maxWait(Timestamp now, const RequestRecord &record) const;

    EntryState *m_state;
};

} // namespace acaciafork::routing
