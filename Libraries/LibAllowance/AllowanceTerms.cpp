#include "LibAllowance/AllowanceTerms.h"

#include <algorithm>
#include <cmath>

namespace Allowance {

namespace {

using Seconds = std::chrono::duration<double>;

/// The rest of what the tolerance allows covers requests that are on their way, and clocks.
constexpr double UsedTolerance = 0.9;
/// Parts of what the tolerance leaves beside the rate: for a longer validity of units, and for larger bursts.
/// The rest is for start levels.
constexpr double ValidityShare = 0.5;
constexpr double BurstShare = 0.3;
/// A tenant that sends without end may use its limit in each window, which is more than its rate as the burst
/// counts again in each; but not much more than the rate that was stated.
constexpr double MaxRateFactor = 1.25;
/// A shorter validity would not outlast a slow call to the leader.
constexpr Seconds MinValidity {0.2};
/// A longer one has no use: unused stocks only keep units from other gateways.
constexpr Seconds MaxValidity {5.0};

} // namespace

double mostInWindow(const RateLimit &limit, const Tolerance &tolerance)
{
    const double allowed = limit.perSecond * Seconds(tolerance.window).count() + limit.burst;
    return allowed * (1.0 + tolerance.overage) + tolerance.slack;
}

AllowanceTerms termsFor(const RateLimit &limit, const Tolerance &tolerance)
{
    const double window = Seconds(tolerance.window).count();
    const double allowed = limit.perSecond * window + limit.burst;
    const double extra = UsedTolerance * (mostInWindow(limit, tolerance) - allowed);
    const double most = allowed + extra;
    const double burst = std::max(1.0, limit.burst);
    AllowanceTerms terms;
    terms.perSecond =
        std::clamp((most - burst) / (window + MinValidity.count()), 0.0, MaxRateFactor * limit.perSecond);
    const double spare = std::max(0.0, most - burst - terms.perSecond * (window + MinValidity.count()));
    const double validity =
        std::min(MinValidity.count() + ValidityShare * spare / limit.perSecond, MaxValidity.count());
    terms.validity = std::chrono::duration_cast<Base::Duration>(Seconds(validity));
    terms.capacity = burst + BurstShare * spare;
    const double span = window + validity;
    const double unused = most - terms.capacity - terms.perSecond * span;
    const double leaders = std::floor(span / Seconds(StartLevelDelay).count()) + 1.0;
    terms.startLevel = std::clamp(unused / leaders, 0.0, std::min(limit.burst, terms.capacity));
    return terms;
}

} // namespace Allowance
