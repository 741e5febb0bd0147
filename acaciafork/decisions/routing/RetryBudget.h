#pragma once

#include <cstdint>

namespace acaciafork::routing {

/// Tokens that bound the retries of one service to a share of its successes.
class RetryBudget
{
public:
    /// Notes a success, which earns a part of a retry.
    void recordSuccess(std::uint32_t retryPercent);

    /// Takes one retry from the budget; false when there is none.
    bool take();

private:
    /// Tokens are hundredths of a retry.
    static constexpr std::uint64_t tokensPerRetry = 100;
    static constexpr std::uint64_t initialTokens = 10 * tokensPerRetry;
    static constexpr std::uint64_t maxTokens = 100 * tokensPerRetry;

    std::uint64_t m_tokens = initialTokens;
};

} // namespace acaciafork::routing
