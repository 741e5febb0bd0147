#include "acaciafork/peers/CallTable.h"

#include <algorithm>

#include <boost/json.hpp>

namespace acaciafork::peers {

CallTable::CallTable(const CallTableSettings &settings, std::uint64_t firstCall)
    : m_settings(settings)
    , m_next(firstCall)
{
    ACACIAFORK_ASSERT(firstCall != 0);
}

std::uint64_t CallTable::begin(Timestamp now, ApiCall call, Handler handler)
{
    if (m_calls.size() >= m_settings.mostCalls)
        return 0;
    const std::uint64_t number = m_next++;
    m_calls.emplace(number,
                    Pending { .call = std::move(call),
                              .handler = std::move(handler),
                              .began = now,
                              .sendAt = now });
    return number;
}

void CallTable::end(std::uint64_t call, const ApiAnswer &answer)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;

    // The handler may begin another call: the table is left in order before it runs.
    const Handler handler = std::move(it->second.handler);
    ApiAnswer marked = answer;
    marked.isRepeated = answer.isRepeated || it->second.sends > 1;
    m_calls.erase(it);
    handler(marked);
}

std::vector<std::pair<std::uint64_t, const ApiCall *>> CallTable::due(Timestamp now)
{
    std::vector<std::pair<std::uint64_t, const ApiCall *>> calls;
    for (auto &[number, pending] : m_calls) {
        if (pending.sendAt > now)
            continue;
        pending.sendAt = now + m_settings.resendAfter;
        ++pending.sends;
        calls.emplace_back(number, &pending.call);
    }
    return calls;
}

void CallTable::hasten(std::uint64_t call)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end())
        it->second.sendAt = it->second.began;
}

void CallTable::expire(Timestamp now)
{
    std::vector<std::uint64_t> late;
    std::vector<std::uint64_t> unsent;
    for (const auto &[number, pending] : m_calls) {
        const Duration own = pending.call.timeout;
        const Duration timeout =
                own > Duration {} ? std::min(own, m_settings.timeout) : m_settings.timeout;
        if (now - pending.began >= timeout)
            late.push_back(number);
        else if (needsLeader() && pending.sends == 0
                 && now - pending.began >= m_settings.unsentTimeout)
            unsent.push_back(number);
    }
    for (const std::uint64_t it : unsent)
        end(it, failureAnswer(FailureKind::NotReady, "no control leader is known"));
    for (const std::uint64_t it : late)
        end(it, failureAnswer(FailureKind::Timeout, "no answer from the control leader"));
}

std::string failureBody(FailureKind kind, std::string_view detail)
{
    const boost::json::object body {
        { "error", { { "kind", failureKindName(kind) }, { "detail", detail } } }
    };
    return boost::json::serialize(body);
}

ApiAnswer failureAnswer(FailureKind kind, std::string_view detail)
{
    return { .status = httpStatus(kind), .body = failureBody(kind, detail) };
}

} // namespace acaciafork::peers
