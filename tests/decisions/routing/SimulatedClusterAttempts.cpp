#include "tests/decisions/routing/SimulatedCluster.h"

#include <algorithm>

#include "tests/decisions/routing/SimulatedClusterParts.h"

namespace acaciafork::routing::fake {

std::size_t SimulatedCluster::submit(const SimulatedRequest &request)
{
    const std::size_t index = m_records.size();
    m_records.push_back(RequestResult { .request = request, .arrival = m_now });
    if (!m_entries[request.entry]->scheduler) {
        m_records[index].outcome = RequestOutcome::NotRun;
        return index;
    }
    dispatch(request.entry, [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
        it->requestArrived(now, makeRequestInfo(index, false, request.entry), out);
    });
    return index;
}

RequestInfo SimulatedCluster::makeRequestInfo(std::size_t index, bool forwarded, int entry) const
{
    const RequestResult &record = m_records[index];
    const std::int64_t left = record.arrival + record.request.timeout.count() - m_now;
    return RequestInfo { .request = RequestId { (index + 1) | (forwarded ? forwardedBit : 0) },
                         .service = m_options.service.service,
                         .routeHash = record.request.route,
                         .requestClass = record.request.requestClass,
                         .idempotent = record.request.idempotent,
                         .keyDigest = record.request.key,
                         .bodyDigest = record.request.key,
                         .deadline = localTime(entry) + Duration(left),
                         .forwarded = forwarded };
}

void SimulatedCluster::forward(int entry, const ForwardToPeer &command)
{
    const std::size_t index = command.request.value - 1;
    ++m_records[index].forwards;
    const int peer = static_cast<int>(command.peer.value) - 1;
    at(m_now + m_options.oneWayLatency.count(), [this, entry, peer, index] {
        if (!m_entries[peer]->scheduler) {
            dispatch(entry, [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
                it->forwardEnded(now, RequestId { index + 1 }, ForwardOutcome::NotRun, out);
            });
            return;
        }
        dispatch(peer, [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
            it->requestArrived(now, makeRequestInfo(index, true, peer), out);
        });
    });
}

void SimulatedCluster::start(int entry, const StartAttempt &command)
{
    const std::string name(command.endpoint);
    const int index = std::stoi(name.substr(name.find('-') + 1));
    const std::uint64_t id = command.attempt.value;
    m_attempts[id] = Attempt { .entry = entry,
                               .entryIncarnation = m_entries[entry]->incarnation,
                               .endpoint = index,
                               .record = (command.request.value & ~forwardedBit) - 1 };
    ++m_records[m_attempts[id].record].attempts;
    const bool opens = !command.reuseConnection;
    const auto late = static_cast<std::int64_t>(
            m_generator() % (static_cast<std::uint64_t>(m_options.maxAttemptDelay.count()) + 1));
    at(m_now + m_options.oneWayLatency.count() + late, [this, id, opens, index] {
        if (m_attempts.count(id) == 0)
            return;
        const Endpoint &endpoint = *m_endpoints[index];
        if (!endpoint.up || endpoint.dead) {
            // An instance that is gone does not even refuse.
            const std::int64_t wait =
                    endpoint.dead ? connectTimeout : m_options.oneWayLatency.count();
            at(m_now + wait, [this, id] {
                end(id, AttemptPhase::NotSent, AttemptOutcome::ConnectFailed, false);
            });
            return;
        }
        if (opens)
            openConnection(id);
        else if (!hasConnection(id))
            return end(id, AttemptPhase::NotSent, AttemptOutcome::Reset, false);
        deliverAttempt(id);
    });
    at(m_now + simulatedDelay(entry, command.deadline), [this, id] {
        if (m_attempts.count(id) > 0)
            end(id, timeoutReleasesSlot ? AttemptPhase::NotSent : AttemptPhase::Sent,
                AttemptOutcome::Timeout, false);
    });
}

void SimulatedCluster::openConnection(std::uint64_t id)
{
    const Attempt &attempt = m_attempts[id];
    // The SYN of a process that has died since is not answered.
    Endpoint &endpoint = *m_endpoints[attempt.endpoint];
    if (m_entries[attempt.entry]->scheduler
        && m_entries[attempt.entry]->incarnation == attempt.entryIncarnation)
        ++endpoint.connections[std::pair(attempt.entry, attempt.entryIncarnation)];
    countConnections(attempt.endpoint);
}

void SimulatedCluster::countConnections(int index)
{
    int open = 0;
    for (const auto &[owner, count] : m_endpoints[index]->connections)
        open += count;
    m_connectionOvershoots += open > static_cast<int>(m_options.connections) ? 1 : 0;
}

bool SimulatedCluster::hasConnection(std::uint64_t id)
{
    const Attempt &attempt = m_attempts[id];
    const std::pair owner(attempt.entry, attempt.entryIncarnation);
    // A crashed process has sent its bytes already.
    const bool alive = m_entries[attempt.entry]->scheduler
            && m_entries[attempt.entry]->incarnation == attempt.entryIncarnation;
    return !alive || m_endpoints[attempt.endpoint]->connections[owner] > 0;
}

void SimulatedCluster::closeConnection(const Attempt &attempt)
{
    int &open = m_endpoints[attempt.endpoint]
                        ->connections[std::pair(attempt.entry, attempt.entryIncarnation)];
    open = std::max(open - 1, 0);
}

void SimulatedCluster::deliverAttempt(std::uint64_t id)
{
    Attempt &attempt = m_attempts[id];
    Endpoint &endpoint = *m_endpoints[attempt.endpoint];
    endpoint.running.insert(id);
    endpoint.lastStart = m_now;
    ++endpoint.starts;
    ++m_records[attempt.record].runs;
    if (endpoint.running.size() > m_options.slots)
        ++m_overshoots;

    const auto work = static_cast<std::int64_t>(
            static_cast<double>(m_records[attempt.record].request.work.count())
            * endpoint.serviceTimeFactor);
    at(m_now + work, [this, id] { finishAttempt(id); });
}

void SimulatedCluster::finishAttempt(std::uint64_t id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    Endpoint &endpoint = *m_endpoints[it->second.endpoint];
    if (endpoint.running.erase(id) == 0 || endpoint.dead)
        return;
    if (!m_entries[it->second.entry]->scheduler
        || m_entries[it->second.entry]->incarnation != it->second.entryIncarnation) {
        m_attempts.erase(it);
        return;
    }
    at(m_now + m_options.oneWayLatency.count(), [this, id] {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end())
            return;
        dispatch(found->second.entry,
                 [&](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
                     scheduler->attemptHeaders(now, AttemptId { id }, false, out);
                 });
        // A connection that was given up on is closed with its late answer.
        const bool retired = found->second.retired;
        if (retired)
            closeConnection(found->second);
        end(id, AttemptPhase::Body, AttemptOutcome::Ok, !retired);
    });
}

void SimulatedCluster::end(std::uint64_t id, AttemptPhase phase, AttemptOutcome outcome, bool kept)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    it->second.retired |= outcome == AttemptOutcome::Timeout;
    const Attempt attempt = it->second;
    const bool final = outcome != AttemptOutcome::Timeout;
    if (final)
        m_attempts.erase(it);
    if (m_entries[attempt.entry]->incarnation != attempt.entryIncarnation)
        return;

    EntryScheduler *scheduler = m_entries[attempt.entry]->scheduler.get();
    if (!scheduler)
        return;
    EntryCommands commands;
    const bool answers = outcome == AttemptOutcome::Ok;
    scheduler->attemptEnded(
            localTime(attempt.entry), AttemptId { id },
            AttemptEnd { .phase = phase, .outcome = outcome, .connectionKept = kept }, &commands);
    if (answers)
        close(RequestId { attempt.record + 1 }, RequestOutcome::Answered);
    execute(attempt.entry, &commands);
}

void SimulatedCluster::close(RequestId request, RequestOutcome outcome)
{
    const bool forwarded = (request.value & forwardedBit) != 0;
    const std::size_t index = (request.value & ~forwardedBit) - 1;
    RequestResult &record = m_records[index];
    if (forwarded && outcome != RequestOutcome::Answered) {
        const ForwardOutcome back = outcome == RequestOutcome::NotRun ? ForwardOutcome::NotRun
                                                                      : ForwardOutcome::Unknown;
        at(m_now + m_options.oneWayLatency.count(), [this, index, back] {
            dispatch(m_records[index].request.entry,
                     [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
                         it->forwardEnded(now, RequestId { index + 1 }, back, out);
                     });
        });
        return;
    }
    if (record.forwards > 0 && outcome == RequestOutcome::Answered) {
        dispatch(record.request.entry, [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
            it->forwardEnded(now, RequestId { index + 1 }, ForwardOutcome::Answered, out);
        });
    }
    if (record.outcome != RequestOutcome::Open)
        return;
    record.outcome = outcome;
    record.end = m_now;
    ++record.answers;
}

void SimulatedCluster::restartEndpoint(int index, Duration downtime)
{
    Endpoint &endpoint = *m_endpoints[index];
    endpoint.up = false;
    ++endpoint.restarts;
    const std::set<std::uint64_t> running = std::move(endpoint.running);
    endpoint.running.clear();
    auto connections = std::move(endpoint.connections);
    endpoint.connections.clear();
    for (const std::uint64_t id : running) {
        const Attempt &attempt = m_attempts[id];
        --connections[std::pair(attempt.entry, attempt.entryIncarnation)];
        at(m_now + m_options.oneWayLatency.count(),
           [this, id] { end(id, AttemptPhase::Sent, AttemptOutcome::Reset, false); });
    }
    for (const auto &[owner, idle] : connections) {
        for (int it = 0; it < idle && m_entries[owner.first]->incarnation == owner.second; ++it) {
            dispatch(owner.first,
                     [&](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
                         scheduler->connectionClosed(now, endpoint.name, out);
                     });
        }
    }
    at(m_now + downtime.count(), [this, index] {
        Endpoint &back = *m_endpoints[index];
        back.up = true;
        ++back.incarnation;
        back.sequence = 0;
    });
}

void SimulatedCluster::killEndpoint(int index)
{
    m_endpoints[index]->dead = true;
}

void SimulatedCluster::leaveEndpoint(int index)
{
    m_endpoints[index]->leaving = true;
}

void SimulatedCluster::slowEndpoint(int index, double factor)
{
    m_endpoints[index]->serviceTimeFactor = factor;
}

} // namespace acaciafork::routing::fake
