#pragma once

#include <cstdint>

namespace Query {

/// Counters since the start of the process, for metrics and measurements.
struct Statistics
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0; ///< Before anything was sent.
    std::uint64_t completeAnswers = 0;
    std::uint64_t partialAnswers = 0;
    std::uint64_t failures = 0; ///< Admitted queries that ended with an error.
    std::uint64_t firstAttempts = 0;
    std::uint64_t hedges = 0; ///< Charged to the budget.
    std::uint64_t retries = 0; ///< Charged to the budget.
    std::uint64_t freeRetries = 0; ///< After attempts known not to have run.
    std::uint64_t hedgesWon = 0;
    std::uint64_t budgetDenials = 0; ///< Hedges and retries withheld for lack of budget.
    std::uint64_t cancellations = 0;
    std::uint64_t droppedReplies = 0; ///< Late, duplicated or unknown.
    std::uint64_t replans = 0;
    std::uint64_t ejections = 0;
};

} // namespace Query
