#include "acaciafork/entry/LedgerOutbox.h"

namespace acaciafork::entry {

LedgerOutbox::LedgerOutbox(const LedgerOutboxSettings &settings)
    : m_settings(settings)
{ }

void LedgerOutbox::ask(Timestamp now, const routing::AskLedger &command)
{
    m_asks[command.request] = { .command = command, .since = now, .sendAt = now };
}

void LedgerOutbox::end(const routing::RecordLedgerEnd &command)
{
    // A question whose request has ended needs no verdict any more.
    m_asks.erase(command.request);
    m_ends.emplace(++m_sequence, command);
    m_hasNewEnds = true;
}

bool LedgerOutbox::answered(RequestId request)
{
    return m_asks.erase(request) == 1;
}

void LedgerOutbox::acknowledged(std::uint64_t sequence)
{
    m_ends.erase(m_ends.begin(), m_ends.upper_bound(sequence));
}

void LedgerOutbox::collectDue(Timestamp now, std::vector<wire::Envelope> *messages)
{
    for (auto &[request, ask] : m_asks) {
        if (ask.sendAt > now)
            continue;
        ask.sendAt = now + m_settings.resendAfter;
        wire::LedgerAsk *message = messages->emplace_back().mutable_ledger_ask();
        message->set_request(request.value);
        message->set_service(ask.command.service.value);
        message->set_key_digest(ask.command.keyDigest);
        message->set_body_digest(ask.command.bodyDigest);
    }

    // New ends wait a little for others to share their message; unacknowledged ones wait longer.
    const Duration pause = m_hasNewEnds ? m_settings.collectEnds : m_settings.resendAfter;
    if (m_ends.empty() || now - m_endsSentAt < pause)
        return;
    m_endsSentAt = now;
    m_hasNewEnds = false;

    // The oldest ends go first, so that an acknowledgement covers all before it.
    wire::LedgerEnds *message = messages->emplace_back().mutable_ledger_ends();
    std::size_t n = 0;
    for (const auto &[sequence, command] : m_ends) {
        if (n++ == m_settings.mostEndsInMessage)
            break;
        message->set_sequence(sequence);
        wire::LedgerEnded *ended = message->add_ends();
        ended->set_request(command.request.value);
        ended->set_service(command.service.value);
        ended->set_key_digest(command.keyDigest);
        ended->set_end(static_cast<std::uint32_t>(command.end));
    }
}

std::vector<RequestId> LedgerOutbox::takeExpired(Timestamp now)
{
    std::vector<RequestId> expired;
    for (auto it = m_asks.begin(); it != m_asks.end();) {
        if (now - it->second.since < m_settings.giveUpAfter) {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        it = m_asks.erase(it);
    }
    return expired;
}

} // namespace acaciafork::entry
