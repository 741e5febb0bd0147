#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "acaciafork/callers/Callers.h"
#include "acaciafork/endpoints/Endpoints.h"
#include "acaciafork/entry/EntryAttempt.h"
#include "acaciafork/entry/EntryNode.h"
#include "acaciafork/entry/EntrySettings.h"
#include "acaciafork/entry/PeerForward.h"
#include "acaciafork/net/Net.h"
#include "acaciafork/operators/Operators.h"

namespace acaciafork::entry {

/// One entry with its sockets: HTTP towards callers, endpoints and operators, messages towards the
/// control members and the other entries.
class EntryProcess : private EntryPorts, private EntryAttemptOwner, private callers::CallerHandler
{
public:
    EntryProcess(net::Loop *loop, const EntrySettings &settings);
    ~EntryProcess() override;
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Opens every socket and starts the timers.
    Result<void> start();

    /// Takes the seeds over from settings that have changed. Fails with Failure InvalidArgument.
    Result<void> reload(const EntrySettings &settings);

    /// Finishes what is in progress, then stops the loop.
    void drain();

    /// Carries a call of the /acaciafork/v1/ interface to the leader; `handler` gets its answer
    /// once.
    void callControl(peers::ApiCall call, const peers::CallTable::Handler &handler)
    {
        m_node->apiCall(moment(), std::move(call), handler);
    }
    /// True while requests may be accepted.
    [[nodiscard]] bool ready() const { return m_node->ready(net::Loop::now()); }
    /// What this process counts.
    [[nodiscard]] CounterRegistry &counters() { return m_counters; }

    /// Ports that were listened on, once started.
    [[nodiscard]] std::uint16_t callersPort() const { return m_callersPort; }

private:
    /// A request of a caller and what was made for it.
    struct Request
    {
        callers::CallerRequest request;
        std::shared_ptr<callers::CallerExchange> exchange;
        std::unique_ptr<PeerForward> forward;
        /// Attempt whose answer goes to the caller.
        AttemptId answeredBy;
    };

    /// An attempt and its deadline.
    struct Attempt
    {
        std::unique_ptr<EntryAttempt> attempt;
        RequestId request;
        net::TimerId deadline;
    };

    void startAttempt(const routing::StartAttempt &command) override;
    void forwardAnswer(const routing::ForwardAnswer &command) override;
    void answerNotRun(const routing::AnswerNotRun &command) override;
    void answerUnknown(const routing::AnswerUnknown &command) override;
    void forwardToPeer(const routing::ForwardToPeer &command, std::string_view address) override;
    void abandonAttempt(const routing::AbandonAttempt &command) override;
    void releaseAttempt(const routing::ReleaseAttempt &command) override;
    void closeConnections(const routing::CloseConnections &command) override;
    void probeEndpoint(const routing::ProbeEndpoint &command) override;

    void attemptHeaders(AttemptId attempt, bool endpointError) override;
    void attemptEnded(AttemptId attempt, const routing::AttemptEnd &end) override;

    void onCallerRequest(const callers::CallerRequest &request,
                         std::shared_ptr<callers::CallerExchange> exchange) override;
    void onApi(std::shared_ptr<net::HttpExchange> exchange) override;
    callers::HealthAnswer health() override;
    std::string metrics() override;

    [[nodiscard]] Moment moment() const;
    RequestId nextRequestId();
    Result<void> connectPeers();
    void deadlineReached(AttemptId attempt);
    void announce(std::string_view endpoint, net::HttpExchange *exchange);
    void relay(const std::shared_ptr<net::HttpExchange> &exchange);
    void answerOperator(const std::shared_ptr<net::HttpExchange> &exchange);
    void finishIfDrained();
    void onMessage(const wire::Envelope &envelope);
    void findMembers();

    net::Loop *m_loop;
    EntrySettings m_settings;
    std::string m_tokenDigest;
    Incarnation m_incarnation;
    std::uint64_t m_requestCounter;
    std::uint16_t m_callersPort = 0;
    ProcessId m_self;
    CounterRegistry m_counters;
    Timeline m_timeline;
    net::MessageLink m_messages;
    std::unique_ptr<peers::PeerLink> m_link;
    std::unique_ptr<EntryNode> m_node;
    std::unique_ptr<peers::MemberFinder> m_finder;
    std::unique_ptr<callers::CallerServer> m_callers;
    std::unique_ptr<net::HttpServer> m_operators;
    endpoints::EndpointClient m_endpoints;
    net::HttpClient m_peerClient;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    bool m_draining = false;
    Counter *m_answered;
    Counter *m_notRun;
    Counter *m_unknown;
    Counter *m_requestsInProgress;
};

} // namespace acaciafork::entry
