#include "acaciafork/decisions/routing/RetryBudget.h"

#include <algorithm>

namespace acaciafork::routing {

void RetryBudget::recordSuccess(std::uint32_t retryPercent)
{
    m_tokens = std::min(m_tokens + retryPercent, maxTokens);
}

bool RetryBudget::take()
{
    if (m_tokens < tokensPerRetry)
        return false;
    m_tokens -= tokensPerRetry;
    return true;
}

} // namespace acaciafork::routing
