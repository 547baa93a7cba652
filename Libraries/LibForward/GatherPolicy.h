#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>

namespace Forward {

enum class GatherDecision : std::uint8_t { Wait, Answer, Fail };

/// Where a gather stands.
struct GatherProgress
{
    std::size_t total = 0; ///< Shards of the set.
    std::size_t present = 0; ///< Parts that have arrived.
    std::size_t pending = 0; ///< Shards that may still deliver.
    std::size_t recovering = 0; ///< Shards none of whose servers could be reached; they are asked again.
    double minimumCoverage = 1.0;
    Base::Instant answerBy; ///< Last moment at which an answer reaches the caller within its target.
    /// Probability that the answer is in time now and never again, because the caller has spent time before.
    double lateUnlessNow = 0.0;
};

/// Worth of a late gather relative to one in time, as the users rate it.
inline constexpr double LateWorth = 0.1;

/// Weighs an answer with what is in against one with all that may come. Its worth is the square of the share
/// of the shards that it covers. Load pattern: one answer in six goes to a caller that looked the gateways up
/// first, and would be late with every shard that pauses.
inline bool isEarlyAnswerBetter(const GatherProgress &progress)
{
    const auto present = static_cast<double>(progress.present);
    const auto possible = static_cast<double>(progress.present + progress.pending);
    const auto expectedWorth = 1.0 - progress.lateUnlessNow * (1.0 - LateWorth);
    return progress.lateUnlessNow > 0.0 && present * present >= expectedWorth * possible * possible;
}

/// Load pattern: one or a few shards lag behind the others. Up to `answerBy` each further part raises the
/// worth of the answer and costs nothing; after it, a late answer is worth a small fraction whatever it
/// covers, so it leaves as soon as it is a success at all. A gather that can no longer become a success ends
/// at once. Shards that are out of reach are waited for only when the answer would be no success without
/// them.
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
