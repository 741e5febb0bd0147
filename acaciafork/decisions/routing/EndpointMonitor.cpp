#include "acaciafork/decisions/routing/EndpointMonitor.h"

#include <algorithm>

namespace acaciafork::routing {
namespace {

/// Time without an answer from which on an endpoint is probed: at least this, and this many times
/// what nine of ten requests of the route stay under.
constexpr Duration minProbeDelay = std::chrono::seconds(1);
constexpr int probeDelayFactor = 3;
/// Time between two looks at all attempts, and between two probes of one endpoint.
constexpr Duration suspectScanInterval = std::chrono::milliseconds(250);
constexpr Duration probeInterval = std::chrono::seconds(2);
/// Time for which an endpoint gets nothing after a failed connect.
constexpr Duration holdOffTime = std::chrono::milliseconds(200);
/// Failures that a failed connect counts as.
constexpr std::uint32_t connectFailureWeight = 2;
/// A timeout speaks against the endpoint once it took this many times as long as expected.
constexpr int timeoutFailureFactor = 4;

} // namespace

EndpointMonitor::EndpointMonitor(EntryState *state)
    : m_state(state)
{ }

bool EndpointMonitor::recordFailure(Timestamp now, const AttemptRecord &attempt,
                                    AttemptOutcome outcome, EntryCommands *out)
{
    EntryService &service = m_state->services[attempt.service];
    EntryEndpoint &endpoint = m_state->endpoints[attempt.endpoint];
    const bool unreachable = outcome == AttemptOutcome::ConnectFailed;
    if (unreachable && !endpoint.heldOff) {
        endpoint.heldOff = true;
        m_heldOff.emplace_back(now + holdOffTime, attempt.endpoint);
        m_state->endpoints.refresh(attempt.endpoint);
    }

    // A caller with little patience says nothing about the endpoint.
    const Duration expected(attempt.expectedEnd - toMicroseconds(attempt.startedAt));
    const bool deadlineTooShort = outcome == AttemptOutcome::Timeout
            && now - attempt.startedAt < expected * timeoutFailureFactor;
    const std::uint32_t weight = unreachable ? connectFailureWeight : 1;
    if (deadlineTooShort || !endpoint.health.recordFailure(service.settings, weight))
        return false;
    eject(now, attempt.endpoint, out);
    return unreachable && !endpoint.health.serving();
}

void EndpointMonitor::endHoldOffs(Timestamp now)
{
    while (!m_heldOff.empty() && m_heldOff.front().first <= now) {
        const TableIndex index = m_heldOff.front().second;
        m_heldOff.pop_front();
        m_state->endpoints[index].heldOff = false;
        m_state->endpoints.refresh(index);
    }
}

void EndpointMonitor::eject(Timestamp now, TableIndex index, EntryCommands *out)
{
    EntryEndpoint &endpoint = m_state->endpoints[index];
    EntryService &service = m_state->services[endpoint.service];
    const std::uint32_t maxEjected =
            service.endpoints * (100 - service.settings.ejectionFloorPercent) / 100;
    if (service.ejected >= maxEjected)
        return;
    ++service.ejected;
    m_ejected.push_back(index);
    endpoint.health.eject(now, service.settings);
    m_state->endpoints.refresh(index);
    out->push_back(
            RecordEvent { .kind = EventKind::EndpointEjected, .subject = endpoint.name.value });
}

bool EndpointMonitor::sendProbe(Timestamp now, TableIndex index, EntryCommands *out)
{
    EntryEndpoint &endpoint = m_state->endpoints[index];
    if (endpoint.probing || endpoint.openConnections >= endpoint.connections)
        return false;
    endpoint.probing = true;
    endpoint.lastProbedAt = now;
    ++endpoint.openConnections;
    m_state->endpoints.refresh(index);
    out->push_back(ProbeEndpoint { .endpoint = endpoint.name.view(), .address = endpoint.address });
    return true;
}

void EndpointMonitor::probe(Timestamp now, EntryCommands *out)
{
    for (const TableIndex it : m_ejected) {
        EntryEndpoint &endpoint = m_state->endpoints[it];
        if (endpoint.health.probeDue(now) && sendProbe(now, it, out))
            endpoint.health.probeSent();
    }
    if (now - m_lastSuspectScan >= suspectScanInterval) {
        m_lastSuspectScan = now;
        probeSuspects(now, out);
    }
}

void EndpointMonitor::probeSuspects(Timestamp now, EntryCommands *out)
{
    // An instance that is gone says nothing. When all slots held there are taken by attempts that
    // never end, only a probe finds out.
    std::vector<TableIndex> suspects;
    m_state->attempts.forEach([&](const AttemptRecord &it) {
        if (!it.request || it.request->answerStarted || it.lane == Lane::Stream)
            return;
        const EntryEndpoint &endpoint = m_state->endpoints[it.endpoint];
        const Duration high = m_state->services[it.service].estimator.high(it.routeHash);
        const bool late = now - it.startedAt > std::max(minProbeDelay, probeDelayFactor * high);
        if (late && endpoint.health.serving() && now - endpoint.lastProbedAt >= probeInterval)
            suspects.push_back(it.endpoint);
    });
    std::sort(suspects.begin(), suspects.end());
    for (const TableIndex it : suspects)
        sendProbe(now, it, out);
}

bool EndpointMonitor::probeEnded(Timestamp now, TableIndex index, bool reached, EntryCommands *out)
{
    EntryEndpoint &endpoint = m_state->endpoints[index];
    EntryService &service = m_state->services[endpoint.service];
    if (!endpoint.probing)
        return false;
    endpoint.probing = false;
    m_state->endpoints.releaseConnection(index, false);
    if (endpoint.health.serving()) {
        if (reached)
            return false;
        eject(now, index, out);
        return true;
    }
    endpoint.health.probeEnded(now, reached, service.settings);
    if (!reached)
        return false;
    --service.ejected;
    std::erase(m_ejected, index);
    m_state->endpoints.refresh(index);
    out->push_back(
            RecordEvent { .kind = EventKind::EndpointRestored, .subject = endpoint.name.value });
    return false;
}

void EndpointMonitor::forget(TableIndex index)
{
    std::erase(m_ejected, index);
    std::erase_if(m_heldOff, [&](const auto &it) { return it.second == index; });
}

} // namespace acaciafork::routing
