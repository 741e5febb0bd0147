#include "tests/sessions/Session.h"

#include <algorithm>

namespace acaciafork::sessions {
namespace {

constexpr std::int64_t millisecond = 1'000;
constexpr std::int64_t messageDelayUs = millisecond;
constexpr std::int64_t tickUs = 10 * millisecond;
constexpr std::int64_t announceUs = 1'000 * millisecond;
constexpr std::int64_t serviceUs = 5 * millisecond;
constexpr std::uint64_t firstIncarnation = 1'000;

peers::PeerIdentity identity(std::uint32_t process)
{
    return { .process = { process },
             .incarnation = { firstIncarnation + process },
             .cluster = "session",
             .cell = { 1 } };
}

} // namespace

/// A fake endpoint: a name, its room, and what it works on.
struct Session::Endpoint
{
    std::uint32_t slots = 0;
    std::uint32_t inProgress = 0;
    std::uint64_t sequence = 0;
    bool isAlive = true;
    bool isLeaving = false;
};

/// A control member on the fake agreement.
class Session::Member : public control::ControlPorts
{
public:
    Member(Session *session, std::uint32_t id)
        : m_session(session)
        , m_id(id)
        , timeline(ProcessId { id }, 1'000)
        , link(
                  identity(id), &timeline, &counters,
                  [session, id](ProcessId to, std::span<const std::byte> bytes) {
                      session->deliver(id, to, bytes);
                  },
                  [this](const wire::Envelope &it) { node.peerMessage(m_session->now(), it); })
        , node({ .cell = { 1 }, .knownEntries = { ProcessId { 11 }, ProcessId { 12 } } }, &link,
               this, &timeline, &counters)
    { }

    Result<consensus::LogPosition> propose(Timestamp, std::string command) override
    {
        if (m_session->m_leader != m_id)
            return fail(FailureKind::NotReady, "not the leader");
        const consensus::LogPosition position { .index = ++m_session->m_lastIndex,
                                                .term = m_session->m_term };
        m_session->commit(std::move(command), position);
        return position;
    }

    [[nodiscard]] bool canActAsLeader(Timestamp) const override
    {
        return m_session->m_leader == m_id;
    }
    [[nodiscard]] ProcessId leader() const override { return { m_session->m_leader }; }
    void callWorker(std::string_view, const batch::Command &) override { }

private:
    Session *m_session;
    std::uint32_t m_id;

public:
    CounterRegistry counters;
    Timeline timeline;
    peers::PeerLink link;
    control::ControlNode node;
};

/// An entry whose ports lead to the fake endpoints and callers.
class Session::Entry : public entry::EntryPorts
{
public:
    Entry(Session *session, std::uint32_t id)
        : m_session(session)
        , timeline(ProcessId { id }, 1'000)
        , link(
                  identity(id), &timeline, &counters,
                  [session, id](ProcessId to, std::span<const std::byte> bytes) {
                      session->deliver(id, to, bytes);
                  },
                  [this](const wire::Envelope &it) { node.peerMessage(m_session->now(), it); })
        , node({ .zone = { "a" },
                 .callersAddress = "entry-" + std::to_string(id),
                 .controlMembers = { ProcessId { 1 }, ProcessId { 2 } },
                 .seed = id },
               &link, this, &timeline, &counters)
    { }

    void startAttempt(const routing::StartAttempt &command) override
    {
        const AttemptId attempt = command.attempt;
        Endpoint &endpoint = m_session->m_endpoints.at(std::string(command.endpoint));
        if (!endpoint.isAlive) {
            later(messageDelayUs, [this, attempt] {
                node.attemptEnded(m_session->now(), attempt,
                                  { .outcome = routing::AttemptOutcome::ConnectFailed });
            });
            return;
        }
        ++endpoint.inProgress;
        if (endpoint.inProgress > endpoint.slots)
            m_session->m_overshoot =
                    std::max(m_session->m_overshoot, endpoint.inProgress - endpoint.slots);
        later(serviceUs, [this, attempt, &endpoint] {
            --endpoint.inProgress;
            node.attemptHeaders(m_session->now(), attempt, false);
            node.attemptEnded(m_session->now(), attempt,
                              { .phase = routing::AttemptPhase::Body, .connectionKept = true });
        });
    }

    void forwardAnswer(const routing::ForwardAnswer &it) override
    {
        answer(it.request, "answered");
    }
    void answerNotRun(const routing::AnswerNotRun &it) override
    {
        answer(it.request, "not-run " + std::string(failureKindName(it.kind)));
    }
    void answerUnknown(const routing::AnswerUnknown &it) override { answer(it.request, "unknown"); }
    void forwardToPeer(const routing::ForwardToPeer &it, std::string_view) override
    {
        const RequestId request = it.request;
        m_session->note(names[request] + " passed on to " + std::to_string(it.peer.value));
        later(messageDelayUs, [this, request] {
            node.forwardEnded(m_session->now(), request, routing::ForwardOutcome::NotRun);
        });
    }
    void abandonAttempt(const routing::AbandonAttempt &) override { }
    void releaseAttempt(const routing::ReleaseAttempt &) override { }
    void closeConnections(const routing::CloseConnections &it) override
    {
        const EndpointName endpoint { std::string(it.endpoint) };
        for (std::uint32_t i = 0; i < it.count; ++i)
            later(0, [this, endpoint] { node.connectionClosed(m_session->now(), endpoint); });
    }
    void probeEndpoint(const routing::ProbeEndpoint &it) override
    {
        const EndpointName endpoint { std::string(it.endpoint) };
        later(messageDelayUs, [this, endpoint] {
            node.probeEnded(m_session->now(), endpoint,
                            m_session->m_endpoints.at(endpoint.value).isAlive);
        });
    }

private:
    void later(std::int64_t delayUs, std::function<void()> fn)
    {
        m_session->m_events.emplace(m_session->m_nowUs + delayUs, std::move(fn));
    }
    void answer(RequestId request, const std::string &outcome)
    {
        m_session->note(names[request] + ' ' + outcome);
    }

    Session *m_session;

public:
    CounterRegistry counters;
    Timeline timeline;
    peers::PeerLink link;
    entry::EntryNode node;
    /// Names of requests, for the log.
    std::map<RequestId, std::string> names;
};

Session::Session()
{
    for (const std::uint32_t it : { 1U, 2U })
        m_members[it] = std::make_unique<Member>(this, it);
    for (const std::uint32_t it : { 11U, 12U })
        m_entries[it] = std::make_unique<Entry>(this, it);
    tickAll();
    announceAll();
}

Session::~Session() = default;

Moment Session::now() const
{
    return { .now = timestampFromMicroseconds(m_nowUs), .wallMicroseconds = m_nowUs };
}

void Session::at(std::int64_t ms, std::function<void()> fn)
{
    m_events.emplace(ms * millisecond, std::move(fn));
}

void Session::runUntil(std::int64_t ms)
{
    while (!m_events.empty() && m_events.begin()->first <= ms * millisecond) {
        const auto event = m_events.extract(m_events.begin());
        m_nowUs = std::max(m_nowUs, event.key());
        event.mapped()();
    }
    m_nowUs = ms * millisecond;
}

void Session::deliver(std::uint32_t from, ProcessId to, std::span<const std::byte> bytes)
{
    std::string copy(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    m_events.emplace(m_nowUs + messageDelayUs, [this, from, to, copy = std::move(copy)] {
        if (m_dead.contains(from) || m_dead.contains(to.value))
            return;
        if (const auto it = m_members.find(to.value); it != m_members.end())
            it->second->link.receive(std::as_bytes(std::span(copy)), m_nowUs);
        if (const auto it = m_entries.find(to.value); it != m_entries.end())
            it->second->link.receive(std::as_bytes(std::span(copy)), m_nowUs);
    });
}

void Session::commit(std::string command, const consensus::LogPosition &position)
{
    m_events.emplace(m_nowUs + 2 * messageDelayUs, [this, command = std::move(command), position] {
        for (const auto &[id, member] : m_members) {
            if (!m_dead.contains(id))
                member->node.applied(now(), position, command);
        }
    });
}

void Session::elect(std::uint32_t member)
{
    m_leader = member;
    ++m_term;
    note("member " + std::to_string(member) + " is elected");
    for (const auto &[id, it] : m_members) {
        if (!m_dead.contains(id))
            it->node.roleChanged(now(), id == member, m_term);
    }
}

void Session::propose(const std::string &what, wire::Command command)
{
    m_members.at(m_leader)->node.propose(
            now(), std::move(command), [this, what](Moment, const state::ApplyResult *result) {
                note(what + ' '
                     + (result ? std::string(state::outcomeName(result->outcome())) : "open"));
            });
}

void Session::addEndpoint(const std::string &name, std::uint32_t slots)
{
    m_endpoints[name].slots = slots;
}

void Session::setEndpointAlive(const std::string &name, bool isAlive)
{
    m_endpoints.at(name).isAlive = isAlive;
}

void Session::leaveEndpoint(const std::string &name)
{
    m_endpoints.at(name).isLeaving = true;
}

void Session::request(const std::string &name, std::uint32_t entry,
                      const routing::RequestInfo &info)
{
    Entry &it = *m_entries.at(entry);
    it.names[info.request] = name;
    it.node.requestArrived(now(), info);
}

void Session::tickAll()
{
    for (const auto &[id, it] : m_members) {
        if (!m_dead.contains(id))
            it->node.tick(now());
    }
    for (const auto &[id, it] : m_entries) {
        if (!m_dead.contains(id))
            it->node.tick(now());
    }
    m_events.emplace(m_nowUs + tickUs, [this] { tickAll(); });
}

void Session::announceAll()
{
    // Each endpoint announces itself at the first entry that lives.
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(),
                                    [this](const auto &it) { return !m_dead.contains(it.first); });
    for (auto &[name, it] : m_endpoints) {
        if (!it.isAlive)
            continue;
        entry->second->node.endpointAnnounced(now(),
                                              { .endpoint = { name },
                                                .service = { "loopdraw" },
                                                .address = name,
                                                .zone = { "a" },
                                                .rack = { "r1" },
                                                .incarnation = { 1 },
                                                .sequence = ++it.sequence,
                                                .slots = it.slots,
                                                .connections = 64,
                                                .requestsInProgress = it.inProgress,
                                                .leaving = it.isLeaving });
    }
    m_events.emplace(m_nowUs + announceUs, [this] { announceAll(); });
}

void Session::note(const std::string &line)
{
    m_log += std::to_string(m_nowUs / millisecond) + "ms " + line + '\n';
}

std::string Session::log() const
{
    std::vector<Event> events;
    for (const auto &[id, it] : m_members) {
        const std::vector<Event> own = it->timeline.events();
        events.insert(events.end(), own.begin(), own.end());
    }
    for (const auto &[id, it] : m_entries) {
        const std::vector<Event> own = it->timeline.events();
        events.insert(events.end(), own.begin(), own.end());
    }
    std::sort(events.begin(), events.end(), [](const Event &a, const Event &b) {
        return std::pair(a.time, a.process) < std::pair(b.time, b.process);
    });
    std::string text = m_log + "time line\n";
    for (const Event &it : events) {
        text += std::to_string(it.time.wallMicroseconds / millisecond) + "ms process="
                + std::to_string(it.process.value) + ' ' + std::string(eventKindName(it.kind)) + ' '
                + it.subject + (it.detail.empty() ? "" : " " + it.detail) + '\n';
    }
    return text;
}

} // namespace acaciafork::sessions
