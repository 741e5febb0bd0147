#include "acaciafork/control/LedgerService.h"

#include <array>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::control {
namespace {

/// Digests are stored as their eight bytes, least significant first.
std::string digestBytes(std::uint64_t digest)
{
    std::string bytes(sizeof(digest), '\0');
    for (char &it : bytes) {
        it = static_cast<char>(digest & 0xff);
        digest >>= 8;
    }
    return bytes;
}

wire::LedgerOutcome toOutcome(std::uint32_t end)
{
    /// By routing::LedgerEnd.
    static constexpr std::array outcomes { wire::LEDGER_OUTCOME_NOT_RUN,
                                           wire::LEDGER_OUTCOME_ANSWERED,
                                           wire::LEDGER_OUTCOME_UNKNOWN };
    return end < outcomes.size() ? outcomes[end] : wire::LEDGER_OUTCOME_UNKNOWN;
}

} // namespace

wire::Command ledgerBegin(const wire::Envelope &question)
{
    const wire::LedgerAsk &ask = question.ledger_ask();
    wire::Command command;
    wire::LedgerBegin *begin = command.mutable_ledger_begin();
    begin->set_service(ask.service());
    begin->set_key(digestBytes(ask.key_digest()));
    begin->set_body_digest(digestBytes(ask.body_digest()));
    begin->set_entry(question.sender());
    begin->set_attempt(ask.request());
    return command;
}

wire::Command ledgerEnds(const wire::Envelope &message)
{
    wire::Command command;
    wire::LedgerEnd *end = command.mutable_ledger_end();
    for (const wire::LedgerEnded &it : message.ledger_ends().ends()) {
        wire::LedgerClose *close = end->add_closes();
        close->set_service(it.service());
        close->set_key(digestBytes(it.key_digest()));
        close->set_attempt(it.request());
        close->set_outcome(toOutcome(it.end()));
    }
    return command;
}

wire::LedgerAnswer ledgerAnswer(const state::ApplyResult *result, bool holderLives)
{
    if (result == nullptr)
        return wire::LEDGER_ANSWER_UNAVAILABLE;
    switch (result->outcome()) {
    case wire::OUTCOME_BEGUN_NOW:
        return wire::LEDGER_ANSWER_RECORDED;
    case wire::OUTCOME_ALREADY_BEGUN:
        // Nobody will ever tell how it ended when its entry is lost.
        return holderLives ? wire::LEDGER_ANSWER_RUNNING : wire::LEDGER_ANSWER_ENDED_UNKNOWN;
    case wire::OUTCOME_LEDGER_FINISHED:
        return result->ledger_outcome() == wire::LEDGER_OUTCOME_ANSWERED
                ? wire::LEDGER_ANSWER_ENDED_ANSWERED
                : wire::LEDGER_ANSWER_ENDED_UNKNOWN;
    case wire::OUTCOME_CONTENT_CONFLICT:
        return wire::LEDGER_ANSWER_BODY_DIFFERS;
    default:
        return wire::LEDGER_ANSWER_UNAVAILABLE;
    }
}

} // namespace acaciafork::control
