#include "acaciafork/state/Ledger.h"

#include <array>

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {
namespace {

constexpr std::array<std::string_view, wire::LedgerOutcome_ARRAYSIZE> outcomeNames {
    "none",
    "answered",
    "not-run",
    "unknown",
};

constexpr std::size_t maxDigestBytes = 64;

} // namespace

std::string_view ledgerOutcomeName(wire::LedgerOutcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

ApplyResult Ledger::begin(const wire::LedgerBegin &command, std::int64_t nowMicroseconds)
{
    if (!isName(command.service()) || command.key().empty() || command.key().size() > maxNameBytes
        || command.body_digest().size() > maxDigestBytes || command.attempt() == 0)
        return makeResult(wire::OUTCOME_INVALID, 0, "wrong service, key, digest or attempt");

    const auto [it, isNew] = m_entries.try_emplace({ command.service(), command.key() });
    LedgerEntry &entry = it->second;
    if (isNew) {
        if (m_entries.size() > m_limits.ledgerEntries) {
            m_entries.erase(it);
            return makeResult(wire::OUTCOME_FULL, 0, "the ledger is full");
        }
        entry = { .bodyDigest = command.body_digest(),
                  .attempt = { command.attempt() },
                  .begunMicroseconds = nowMicroseconds,
                  .entry = { command.entry() } };
        m_byBeginTime.emplace(nowMicroseconds, it->first);
        return makeResult(wire::OUTCOME_BEGUN_NOW, command.attempt());
    }

    // A repeat: another body under the same key is a mistake of the caller.
    if (entry.bodyDigest != command.body_digest())
        return makeResult(wire::OUTCOME_CONTENT_CONFLICT, entry.attempt.value,
                          "the key belongs to a request with another body");
    if (entry.outcome != wire::LEDGER_OUTCOME_NONE) {
        ApplyResult result = makeResult(wire::OUTCOME_LEDGER_FINISHED, entry.attempt.value);
        result.set_ledger_outcome(entry.outcome);
        result.set_ledger_status(entry.status);
        return result;
    }
    if (entry.attempt.value == command.attempt())
        return makeResult(wire::OUTCOME_BEGUN_NOW, command.attempt());
    return makeResult(wire::OUTCOME_ALREADY_BEGUN, entry.attempt.value);
}

ApplyResult Ledger::end(const wire::LedgerEnd &command)
{
    ApplyResult result = makeResult(wire::OUTCOME_APPLIED);
    for (const wire::LedgerClose &it : command.closes())
        *result.add_parts() = close(it);
    return result;
}

void Ledger::expire(std::int64_t nowMicroseconds)
{
    const std::int64_t cutoff = nowMicroseconds - m_limits.ledgerWindow.count();
    while (!m_byBeginTime.empty() && m_byBeginTime.begin()->first < cutoff)
        erase(m_entries.find(m_byBeginTime.begin()->second));
}

const LedgerEntry *Ledger::find(const std::string &service, const std::string &key) const
{
    const auto it = m_entries.find({ service, key });
    return it == m_entries.end() ? nullptr : &it->second;
}

void Ledger::save(SnapshotWriter *writer) const
{
    for (const auto &[key, entry] : m_entries) {
        wire::LedgerRecord *record = writer->record().mutable_ledger();
        record->set_service(key.first);
        record->set_key(key.second);
        record->set_body_digest(entry.bodyDigest);
        record->set_attempt(entry.attempt.value);
        record->set_begun_us(entry.begunMicroseconds);
        record->set_entry(entry.entry.value);
        record->set_outcome(entry.outcome);
        record->set_status(entry.status);
    }
}

bool Ledger::load(const wire::LedgerRecord &record)
{
    if (!isName(record.service()) || record.key().empty()
        || !wire::LedgerOutcome_IsValid(record.outcome()))
        return false;
    const auto [it, isNew] =
            m_entries.try_emplace({ record.service(), record.key() },
                                  LedgerEntry { .bodyDigest = record.body_digest(),
                                                .attempt = { record.attempt() },
                                                .begunMicroseconds = record.begun_us(),
                                                .entry = { record.entry() },
                                                .outcome = record.outcome(),
                                                .status = record.status() });
    if (isNew)
        m_byBeginTime.emplace(record.begun_us(), it->first);
    return isNew;
}

ApplyResult Ledger::close(const wire::LedgerClose &command)
{
    const auto it = m_entries.find({ command.service(), command.key() });
    if (it == m_entries.end())
        return makeResult(wire::OUTCOME_NOT_FOUND, 0, "no such request");
    LedgerEntry &entry = it->second;
    if (entry.attempt.value != command.attempt())
        return makeResult(wire::OUTCOME_STALE_EPOCH, entry.attempt.value, "another attempt");
    if (!wire::LedgerOutcome_IsValid(command.outcome())
        || command.outcome() == wire::LEDGER_OUTCOME_NONE)
        return makeResult(wire::OUTCOME_INVALID, entry.attempt.value, "no such outcome");

    // The first outcome stands, but for an unknown one that becomes known later.
    const bool isOpen = entry.outcome == wire::LEDGER_OUTCOME_NONE
            || entry.outcome == wire::LEDGER_OUTCOME_UNKNOWN;
    if (!isOpen)
        return makeResult(wire::OUTCOME_ALREADY_APPLIED, entry.attempt.value);
    if (command.outcome() == wire::LEDGER_OUTCOME_NOT_RUN) {
        erase(it);
        return makeResult(wire::OUTCOME_APPLIED);
    }
    entry.outcome = command.outcome();
    entry.status = command.status();
    return makeResult(wire::OUTCOME_APPLIED, entry.attempt.value);
}

void Ledger::erase(Map::iterator it)
{
    m_byBeginTime.erase({ it->second.begunMicroseconds, it->first });
    m_entries.erase(it);
}

} // namespace acaciafork::state
