#include "LibAllowance/AllowanceTerms.h"

#include <algorithm>
#include <cmath>

namespace Allowance {

namespace {

using Seconds = std::chrono::duration<double>;

/// The rest of what the tolerance allows covers requests that are on their way, and clocks.
constexpr double UsedTolerance = 0.9;
/// Parts of the used tolerance for the validity of units and for larger bursts. What is left makes the rate
/// higher than stated, which makes up for units that end unused.
constexpr double ValidityShare = 0.45;
constexpr double BurstShare = 0.25;
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
    const double validity =
        std::clamp(ValidityShare * extra / limit.perSecond, MinValidity.count(), MaxValidity.count());
    AllowanceTerms terms;
    terms.validity = std::chrono::duration_cast<Base::Duration>(Seconds(validity));
    terms.capacity = std::max(1.0, limit.burst + BurstShare * extra);
    const double span = window + validity;
    terms.perSecond =
        std::clamp((allowed + extra - terms.capacity) / span, 0.0, MaxRateFactor * limit.perSecond);
    const double unused = allowed + extra - terms.capacity - terms.perSecond * span;
    const double leaders = std::floor(span / Seconds(StartLevelDelay).count()) + 1.0;
    terms.startLevel = std::clamp(unused / leaders, 0.0, std::min(limit.burst, terms.capacity));
    return terms;
}

} // namespace Allowance
