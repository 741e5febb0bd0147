#include "acaciafork/decisions/routing/AttemptTable.h"

#include <algorithm>

#include "acaciafork/core/Assert.h"

namespace acaciafork::routing {
namespace {

/// An attempt id is 12 bits of process, 16 bits drawn from the incarnation, 36 bits of count.
constexpr int sequenceBits = 36;
constexpr int incarnationBits = 16;
constexpr std::uint64_t sequenceMask = (1ULL << sequenceBits) - 1;
constexpr std::uint64_t processMask = (1ULL << (64 - sequenceBits - incarnationBits)) - 1;
/// Odd number close to 2^64 divided by the golden ratio: spreads incarnations that are times.
constexpr std::uint64_t incarnationMultiplier = 0x9e3779b97f4a7c15ULL;

} // namespace

std::uint64_t attemptIdPrefix(ProcessId process, Incarnation incarnation)
{
    const std::uint64_t processPart = process.value & processMask;
    const std::uint64_t incarnationPart =
            (incarnation.value * incarnationMultiplier) >> (64 - incarnationBits);
    return ((processPart << incarnationBits) | incarnationPart) << sequenceBits;
}

std::uint64_t attemptIdPrefix(AttemptId attempt)
{
    return attempt.value >> sequenceBits << sequenceBits;
}

AttemptTable::AttemptTable(ProcessId process, Incarnation incarnation)
    : m_prefix(attemptIdPrefix(process, incarnation))
{ }

AttemptRecord *AttemptTable::add()
{
    const AttemptId attempt { m_prefix | (++m_lastSequence & sequenceMask) };
    const auto [it, inserted] = m_records.try_emplace(attempt.value);
    ACACIAFORK_ASSERT(inserted);
    it->second.attempt = attempt;
    return &it->second;
}

AttemptRecord *AttemptTable::find(AttemptId attempt)
{
    const auto it = m_records.find(attempt.value);
    return it == m_records.end() ? nullptr : &it->second;
}

std::vector<AttemptId> AttemptTable::at(TableIndex endpoint) const
{
    std::vector<AttemptId> found;
    for (const auto &[id, record] : m_records) {
        if (record.endpoint == endpoint)
            found.push_back(record.attempt);
    }
    std::sort(found.begin(), found.end());
    return found;
}

void AttemptTable::remove(AttemptId attempt)
{
    m_records.erase(attempt.value);
}

} // namespace acaciafork::routing
