#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Core.h"

namespace acaciafork::peers {

/// Path of calls about jobs between the system's own processes; the body is a wire::JobCall.
inline constexpr std::string_view jobCallsPath = "/acaciafork/v1/job-calls";

/// One call of the /acaciafork/v1/ interface.
struct ApiCall
{
    std::string method;
    std::string path;
    std::string token;
    std::string body;
    /// It came in by the operators' port; else it came from a callers' port.
    bool operatorsPort = false;
    /// A control member has passed it on already.
    bool relayed = false;
    /// Longest wait for its answer, where it is shorter than that of all calls; zero is none.
    Duration timeout {};
};

/// Answer to an ApiCall: HTTP status and JSON body.
struct ApiAnswer
{
    int status = 0;
    std::string body;
    /// The call was sent more than once: a refusal answers one of them only, another may have been
    /// carried out.
    bool isRepeated = false;
};

/// Bounds on calls that wait for an answer.
struct CallTableSettings
{
    /// A call without an answer is sent again this often.
    Duration resendAfter = std::chrono::milliseconds(400);
    /// A call without an answer for this long ends as a timeout.
    Duration timeout = std::chrono::seconds(5);
    /// A call that could not be sent to a leader for this long ends as not ready: nothing of it was
    /// done. Zero sends calls to members that may not lead.
    Duration unsentTimeout {};
    /// Most calls that wait; further ones are refused.
    std::size_t mostCalls = 4096;
};

/// Calls that wait for an answer from another process. Sending again is safe since every call that
/// changes something carries an idempotency key of its own.
class CallTable
{
public:
    /// Receives the answer, exactly once.
    using Handler = std::function<void(const ApiAnswer &)>;

    /// @param[in] firstCall number of the first call; differs between restarts, so that an answer
    /// to an earlier incarnation matches nothing
    CallTable(const CallTableSettings &settings, std::uint64_t firstCall);

    /// Adds a call and returns its number, or 0 when the table is full.
    std::uint64_t begin(Timestamp now, ApiCall call, Handler handler);

    /// Ends the call with its answer; an unknown number is ignored.
    void end(std::uint64_t call, const ApiAnswer &answer);

    /// Number and call of each one that is due to be sent again; marks them sent now.
    std::vector<std::pair<std::uint64_t, const ApiCall *>> due(Timestamp now);

    /// Makes a call due at once, as after the news that its receiver does not lead.
    void hasten(std::uint64_t call);

    /// Ends the calls that have waited too long, as a timeout.
    void expire(Timestamp now);

    /// True when calls wait for a leader that is known before they are sent.
    [[nodiscard]] bool needsLeader() const { return m_settings.unsentTimeout > Duration {}; }

    /// How many calls wait.
    [[nodiscard]] std::size_t size() const { return m_calls.size(); }

private:
    /// A call that waits.
    struct Pending
    {
        ApiCall call;
        Handler handler;
        Timestamp began;
        Timestamp sendAt;
        std::uint32_t sends = 0;
    };

    CallTableSettings m_settings;
    std::uint64_t m_next;
    std::map<std::uint64_t, Pending> m_calls;
};

/// JSON body of a typed failure: `{"error":{"kind":"...","detail":"..."}}`.
std::string failureBody(FailureKind kind, std::string_view detail);

/// Answer that carries a typed failure.
ApiAnswer failureAnswer(FailureKind kind, std::string_view detail);

} // namespace acaciafork::peers
