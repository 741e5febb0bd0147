#pragma once

#include <map>
#include <vector>

#include "acaciafork/decisions/routing/Routing.h"
#include "wire/peers.pb.h"

namespace acaciafork::entry {

/// How questions and ends of ledger requests are repeated.
struct LedgerOutboxSettings
{
    /// A question without a verdict is sent again this often.
    Duration resendAfter = std::chrono::milliseconds(250);
    /// A question without a verdict for this long counts as answered "unavailable".
    Duration giveUpAfter = std::chrono::seconds(3);
    /// Ends are collected for this long, so that many share one message.
    Duration collectEnds = std::chrono::milliseconds(20);
    /// Most ends in one message.
    std::size_t mostEndsInMessage = 500;
};

/// What an entry still has to tell or ask the ledger. Pure; everything is repeated until answered,
/// and the control leader recognises repeats by the request id.
class LedgerOutbox
{
public:
    explicit LedgerOutbox(const LedgerOutboxSettings &settings);

    /// Adds a question.
    void ask(Timestamp now, const routing::AskLedger &command);

    /// Adds the end of a request.
    void end(const routing::RecordLedgerEnd &command);

    /// A verdict has come.
    /// @return false when the question is not open any more
    bool answered(RequestId request);

    /// The ends up to this sequence are recorded.
    void acknowledged(std::uint64_t sequence);

    /// Appends the messages that are due now.
    void collectDue(Timestamp now, std::vector<wire::Envelope> *messages);

    /// Takes out the questions that were given up on.
    std::vector<RequestId> takeExpired(Timestamp now);

    /// True when nothing waits to be told; a draining entry ends only then.
    [[nodiscard]] bool empty() const { return m_asks.empty() && m_ends.empty(); }

private:
    /// A question without a verdict.
    struct Ask
    {
        routing::AskLedger command;
        Timestamp since;
        Timestamp sendAt;
    };

    LedgerOutboxSettings m_settings;
    std::map<RequestId, Ask> m_asks;
    /// Ends not acknowledged, by sequence.
    std::map<std::uint64_t, routing::RecordLedgerEnd> m_ends;
    std::uint64_t m_sequence = 0;
    Timestamp m_endsSentAt;
    bool m_hasNewEnds = false;
};

} // namespace acaciafork::entry
