#pragma once

#include <cstdint>

namespace acaciafork::routing {

/// Retry budget of one service: limits retries to a percentage of the successful attempts.
class RetryBudget
{
public:
    /// Records a success, which adds `retryPercent` hundredths of a retry to the budget.
    void recordSuccess(std::uint32_t retryPercent);

    /// Takes one retry from the budget.
    /// @return false when less than one retry is left; nothing is taken then
    bool take();

private:
    /// One token is a hundredth of a retry.
    static constexpr std::uint64_t tokensPerRetry = 100;
    static constexpr std::uint64_t initialTokens = 10 * tokensPerRetry;
    static constexpr std::uint64_t maxTokens = 100 * tokensPerRetry;

    std::uint64_t m_tokens = initialTokens;
};

} // namespace acaciafork::routing
