#include "tests/decisions/routing/SimulatedCluster.h"

#include <algorithm>

#include "tests/decisions/routing/SimulatedClusterParts.h"

namespace acaciafork::routing::fake {

SimulatedCluster::SimulatedCluster(const ClusterOptions &options)
    : m_options(options)
    , m_generator(options.seed)
{
    m_options.service.service = ServiceName { "loopdraw" };
    for (int it = 0; it < options.endpoints; ++it) {
        m_endpoints.push_back(std::make_unique<Endpoint>());
        m_endpoints.back()->name = EndpointName { "endpoint-" + std::to_string(it) };
        at(options.announceInterval.count() * it / options.endpoints, [this, it] { announce(it); });
    }
    m_entries.resize(options.entries);
    for (int it = 0; it < options.entries; ++it) {
        m_entries[it] = std::make_unique<Entry>();
        startEntry(it);
        at(tickInterval * it / options.entries, [this, it] { tickEntry(it); });
    }
    changeLeader();
    tickGrantor();
}

SimulatedCluster::~SimulatedCluster() = default;

Timestamp SimulatedCluster::localTime(int process) const
{
    // Origins differ as well, so that a time of one clock used on another shows at once.
    const std::int64_t origin = (process + 2) * 1'000'000'000LL;
    if (!m_options.skewedClocks)
        return timestampFromMicroseconds(origin + m_now);
    const std::int64_t skew = process % 2 == 0 ? -m_now / 200 : m_now / 200;
    return timestampFromMicroseconds(origin + m_now + skew);
}

std::int64_t SimulatedCluster::simulatedDelay(int process, Timestamp local) const
{
    return std::max<std::int64_t>((local - localTime(process)).count(), 0);
}

void SimulatedCluster::at(std::int64_t time, std::function<void()> action)
{
    m_actions.push(Action { .time = time, .order = ++m_order, .run = std::move(action) });
}

void SimulatedCluster::runUntil(std::int64_t until)
{
    while (!m_actions.empty() && m_actions.top().time <= until) {
        const Action action = m_actions.top();
        m_actions.pop();
        m_now = action.time;
        action.run();
    }
    m_now = until;
}

EntryScheduler *SimulatedCluster::entry(int index)
{
    return m_entries[index]->scheduler.get();
}

int SimulatedCluster::runningAt(int endpoint) const
{
    return static_cast<int>(m_endpoints[endpoint]->running.size());
}

std::int64_t SimulatedCluster::lastStartAt(int endpoint) const
{
    return m_endpoints[endpoint]->lastStart;
}

int SimulatedCluster::startsAt(int endpoint) const
{
    return m_endpoints[endpoint]->starts;
}

void SimulatedCluster::startEntry(int index)
{
    Entry &entry = *m_entries[index];
    if (entry.scheduler)
        crashEntry(index);
    ++entry.incarnation;
    entry.scheduler = std::make_unique<EntryScheduler>(
            EntryOptions { .process = ProcessId { static_cast<std::uint32_t>(index + 1) },
                           .incarnation = Incarnation { entry.incarnation },
                           .zone = ZoneName { "zone-" + std::to_string(index % m_options.zones) },
                           .credit = m_options.credit,
                           .seed = m_generator() });
    dispatch(index, [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
        it->configApplied(now, std::span(&m_options.service, 1), out);
        if (m_leaderUp)
            it->controlLeaderFound(now, m_term, out);
    });
}

void SimulatedCluster::crashEntry(int index)
{
    // Its kernel closes the connections.
    m_entries[index]->scheduler.reset();
    for (const auto &it : m_endpoints)
        it->connections.erase(std::pair(index, m_entries[index]->incarnation));
    // Requests of its callers are lost with it; what runs at endpoints runs on.
    for (auto &[id, attempt] : m_attempts) {
        RequestResult &record = m_records[attempt.record];
        if (attempt.entry == index && record.outcome == RequestOutcome::Open)
            record.outcome = RequestOutcome::Unknown;
    }
}

void SimulatedCluster::loseLeader()
{
    m_leaderUp = false;
    for (int it = 0; it < m_options.entries; ++it) {
        dispatch(it, [](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
            scheduler->controlLeaderLost(now, out);
        });
    }
}

void SimulatedCluster::setPartitioned(int entry, bool partitioned)
{
    m_entries[entry]->partitioned = partitioned;
}

void SimulatedCluster::disconnectCaller(std::size_t record)
{
    dispatch(m_records[record].request.entry,
             [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
                 it->callerGone(now, RequestId { record + 1 }, out);
             });
    if (m_records[record].outcome == RequestOutcome::Open)
        m_records[record].outcome = RequestOutcome::Unknown;
}

void SimulatedCluster::changeLeader(bool knowsEntries)
{
    m_leaderUp = true;
    ++m_term;
    m_grantor = std::make_unique<CreditGrantor>(m_options.credit);
    std::vector<ProcessId> known;
    known.reserve(m_entries.size());
    for (int it = 0; knowsEntries && it < m_options.entries; ++it)
        known.push_back(ProcessId { static_cast<std::uint32_t>(it + 1) });
    GrantorCommands commands;
    m_grantor->configApplied(std::span(&m_options.service, 1));
    m_grantor->becameLeader(localTime(grantorProcess), m_term, known, true, &commands);
    execute(&commands);
    for (int it = 0; it < m_options.entries; ++it) {
        dispatch(it, [&](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
            scheduler->controlLeaderFound(now, m_term, out);
        });
    }
}

void SimulatedCluster::tickEntry(int index)
{
    dispatch(index,
             [](EntryScheduler *it, Timestamp now, EntryCommands *out) { it->tick(now, out); });
    at(m_now + tickInterval, [this, index] { tickEntry(index); });
}

void SimulatedCluster::tickGrantor()
{
    if (m_leaderUp) {
        GrantorCommands commands;
        m_grantor->tick(localTime(grantorProcess), &commands);
        execute(&commands);
    }
    at(m_now + tickInterval, [this] { tickGrantor(); });
}

void SimulatedCluster::sendControlMessage(int entry, std::function<void()> deliver,
                                          Duration delayBound)
{
    ++m_controlMessages;
    if (m_entries[entry]->partitioned)
        return;
    const auto percent = [&] { return static_cast<int>(m_generator() % 100); };
    if (percent() < m_options.lostPercent)
        return;
    const auto late = [&]() -> std::int64_t {
        const auto most =
                static_cast<std::uint64_t>(std::min(m_options.maxMessageDelay, delayBound).count());
        return m_options.oneWayLatency.count()
                + static_cast<std::int64_t>(m_generator() % (most + 1));
    };
    if (percent() < m_options.duplicatedPercent)
        at(m_now + late(), deliver);
    at(m_now + late(), std::move(deliver));
}

void SimulatedCluster::announce(int index)
{
    Endpoint &endpoint = *m_endpoints[index];
    at(m_now + m_options.announceInterval.count(), [this, index] { announce(index); });
    if (!endpoint.up || endpoint.dead)
        return;
    EndpointAnnouncement announcement {
        .endpoint = endpoint.name,
        .service = m_options.service.service,
        .address = "127.0.0.1:" + std::to_string(index),
        .zone = ZoneName { "zone-" + std::to_string(index % m_options.zones) },
        .rack = RackName { "rack-" + std::to_string(index / m_options.endpointsPerRack) },
        .incarnation = Incarnation { endpoint.incarnation },
        .sequence = ++endpoint.sequence,
        .slots = m_options.slots,
        .connections = m_options.connections,
        .requestsInProgress = static_cast<std::uint32_t>(endpoint.running.size()),
        .listsAttempts = m_options.listsAttempts,
        .leaving = endpoint.leaving,
    };
    if (m_options.listsAttempts) {
        for (const std::uint64_t it : endpoint.running)
            announcement.attemptsInProgress.push_back(AttemptId { it });
    }
    // By way of one entry to the leader.
    const int through = static_cast<int>(m_generator() % m_entries.size());
    dispatch(through, [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
        it->endpointAnnounced(now, announcement, out);
    });
    const auto deliver = [this, announcement] {
        if (!m_leaderUp)
            return;
        GrantorCommands commands;
        m_grantor->endpointAnnounced(localTime(grantorProcess), announcement, &commands);
        execute(&commands);
    };
    sendControlMessage(through, deliver, m_options.maxAnnouncementDelay);
}

void SimulatedCluster::execute(GrantorCommands *commands)
{
    for (const GrantorCommand &command : *commands) {
        const SendGrant *send = std::get_if<SendGrant>(&command);
        if (!send)
            continue;
        CreditGrant grant = send->grant;
        if (tamperGrant)
            tamperGrant(&grant);
        const int index = static_cast<int>(grant.entry.value) - 1;
        sendControlMessage(index, [this, grant, index] {
            if (m_entries[index]->partitioned)
                return;
            dispatch(index, [&](EntryScheduler *it, Timestamp now, EntryCommands *out) {
                it->grantReceived(now, grant, out);
            });
        });
    }
}

void SimulatedCluster::execute(int entry, EntryCommands *commands)
{
    for (const EntryCommand &command : *commands)
        executeOne(entry, command);
}

void SimulatedCluster::executeOne(int entry, const EntryCommand &command)
{
    if (const auto *attempt = std::get_if<StartAttempt>(&command)) {
        start(entry, *attempt);
    } else if (const auto *notRun = std::get_if<AnswerNotRun>(&command)) {
        close(notRun->request, RequestOutcome::NotRun);
    } else if (const auto *unknown = std::get_if<AnswerUnknown>(&command)) {
        close(unknown->request, RequestOutcome::Unknown);
    } else if (const auto *forwarded = std::get_if<ForwardToPeer>(&command)) {
        forward(entry, *forwarded);
    } else if (const auto *ask = std::get_if<AskLedger>(&command)) {
        const auto [row, fresh] = m_ledger.try_emplace(ask->keyDigest, LedgerVerdict::Running);
        const LedgerVerdict verdict = fresh ? LedgerVerdict::Recorded : row->second;
        m_ledgerCommits += fresh ? 1 : 0;
        at(m_now + 4 * m_options.oneWayLatency.count(),
           [this, entry, request = ask->request, verdict, n = m_entries[entry]->incarnation] {
               if (m_entries[entry]->incarnation != n)
                   return;
               dispatch(entry, [&](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
                   scheduler->ledgerVerdict(now, request, verdict, out);
               });
           });
    } else if (const auto *noted = std::get_if<RecordLedgerEnd>(&command)) {
        if (noted->end == LedgerEnd::NotRun)
            m_ledger.erase(noted->keyDigest);
        else
            m_ledger[noted->keyDigest] = LedgerVerdict::EndedUnknown;
    } else if (const auto *send = std::get_if<SendCreditReport>(&command)) {
        CreditReport report = send->report;
        if (tamperReport)
            tamperReport(&report);
        sendControlMessage(entry, [this, report] {
            if (!m_leaderUp)
                return;
            GrantorCommands commands;
            m_grantor->creditReport(localTime(grantorProcess), report, &commands);
            execute(&commands);
        });
    } else if (const auto *spread = std::get_if<BroadcastLeaving>(&command)) {
        for (int it = 0; it < m_options.entries; ++it) {
            if (it == entry)
                continue;
            sendControlMessage(it, [this, it, notice = spread->notice] {
                dispatch(it, [&](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
                    scheduler->endpointLeaving(now, notice, out);
                });
            });
        }
    } else if (const auto *close = std::get_if<CloseConnections>(&command)) {
        const EndpointName name { std::string(close->endpoint) };
        const int index = std::stoi(name.value.substr(name.value.find('-') + 1));
        const std::uint32_t count = close->count;
        at(m_now + m_options.oneWayLatency.count(),
           [this, entry, name, index, count, n = m_entries[entry]->incarnation,
            restarts = m_endpoints[index]->restarts] {
               // A restart has closed them, and said so, in the meantime.
               if (m_endpoints[index]->restarts != restarts)
                   return;
               m_endpoints[index]->connections[std::pair(entry, n)] -= static_cast<int>(count);
               for (std::uint32_t it = 0; it < count && m_entries[entry]->incarnation == n; ++it) {
                   dispatch(entry,
                            [&](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
                                scheduler->connectionClosed(now, name, out);
                            });
               }
           });
    } else if (const auto *abandoned = std::get_if<AbandonAttempt>(&command)) {
        const auto found = m_attempts.find(abandoned->attempt.value);
        if (found != m_attempts.end())
            found->second.retired = true;
    } else if (const auto *released = std::get_if<ReleaseAttempt>(&command)) {
        const auto found = m_attempts.find(released->attempt.value);
        if (found == m_attempts.end())
            return;
        closeConnection(found->second);
        m_attempts.erase(found);
    } else if (const auto *probe = std::get_if<ProbeEndpoint>(&command)) {
        const EndpointName name { std::string(probe->endpoint) };
        const int index = std::stoi(name.value.substr(name.value.find('-') + 1));
        const bool dead = m_endpoints[index]->dead;
        const std::int64_t wait = dead ? connectTimeout : 2 * m_options.oneWayLatency.count();
        const std::pair owner(entry, m_entries[entry]->incarnation);
        const bool counted = m_endpoints[index]->up && !dead;
        if (counted) {
            ++m_endpoints[index]->connections[owner];
            countConnections(index);
        }
        at(m_now + wait,
           [this, entry, name, index, owner, restarts = m_endpoints[index]->restarts] {
               if (m_entries[entry]->incarnation != owner.second)
                   return;
               if (m_endpoints[index]->up && m_endpoints[index]->restarts == restarts)
                   --m_endpoints[index]->connections[owner];
               const Endpoint &endpoint = *m_endpoints[index];
               dispatch(entry, [&](EntryScheduler *scheduler, Timestamp now, EntryCommands *out) {
                   scheduler->probeEnded(now, name, endpoint.up && !endpoint.dead, out);
               });
           });
    }
}

} // namespace acaciafork::routing::fake
