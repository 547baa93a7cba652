#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>

namespace Forward {

enum class GatherDecision : std::uint8_t { Wait, Answer, Fail };

/// State of a gather that the decision depends on.
struct GatherProgress
{
    std::size_t total = 0; ///< Shards of the gather.
    std::size_t present = 0; ///< Parts that have arrived.
    std::size_t pending = 0; ///< Shards that may still answer.
    std::size_t recovering = 0; ///< Shards without a reachable server; they are retried.
    double minimumCoverage = 1.0;
    Base::Instant answerBy; ///< Latest time for an answer within the target.
    /// Probability that the answer is in time only if sent now, because the caller did a look-up first.
    double lateUnlessNow = 0.0;
};

/// Value of a late answer to users, relative to one in time.
inline constexpr double LateAnswerValue = 0.1;

/// Compares the value of answering now with that of waiting for all pending parts. The value of an answer is
/// the square of its coverage. This matters because one answer in six goes to a caller that looked up the
/// gateways first, and would be late whenever a shard pauses.
inline bool isEarlyAnswerBetter(const GatherProgress &progress)
{
    const auto present = static_cast<double>(progress.present);
    const auto possible = static_cast<double>(progress.present + progress.pending);
    const auto expectedValue = 1.0 - progress.lateUnlessNow * (1.0 - LateAnswerValue);
    return progress.lateUnlessNow > 0.0 && present * present >= expectedValue * possible * possible;
}

/// Decides how long to wait when one or a few shards lag behind the others. Until `answerBy`, each further
/// part adds value at no cost. After it, a late answer has little value at any coverage, so it is sent as
/// soon as it reaches the minimum coverage. A gather that can no longer reach the minimum fails at once.
/// Unreachable shards are waited for only if the minimum cannot be reached without them.
inline GatherDecision decideGather(const GatherProgress &progress, Base::Instant now)
{
    const auto needed = progress.minimumCoverage * static_cast<double>(progress.total) - 1e-9;
    const auto present = static_cast<double>(progress.present);
    if (progress.present > 0 && present >= needed)
        return progress.pending == 0 || now >= progress.answerBy || isEarlyAnswerBetter(progress)
                   ? GatherDecision::Answer
                   : GatherDecision::Wait;
    const auto possible = progress.pending + progress.recovering;
    if (possible == 0 || present + static_cast<double>(possible) < needed)
        return GatherDecision::Fail;
    return GatherDecision::Wait;
}

} // namespace Forward
