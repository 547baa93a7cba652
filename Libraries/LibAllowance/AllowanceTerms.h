#pragma once

#include "LibBase/Time.h"

namespace Allowance {

/// A rate that must hold over all gateways together.
struct RateLimit
{
    double perSecond = 0.0;
    double burst = 0.0; ///< Requests that may come at once in addition to the rate.

    bool operator==(const RateLimit &) const = default;
};

/// By how much a limit may be exceeded, and in which windows that counts.
struct Tolerance
{
    Base::Duration window {};
    double overage = 0.0; ///< Fraction of what the limit allows in a window.
    double slack = 0.0; ///< Requests besides.

    bool operator==(const Tolerance &) const = default;
};

/// How the leader hands out the units of one key, so that gateways never spend more than the limit and its
/// tolerance allow in any window.
///
/// A unit is spent within `validity` of its grant at the latest. So what is spent in a window was granted in
/// that window or `validity` before it, which is at most `perSecond` × (window + validity) + `capacity`, and
/// a `startLevel` for each leader that lasted `StartLevelDelay` within that time.
struct AllowanceTerms
{
    double perSecond = 0.0; ///< Units earned.
    double capacity = 0.0; ///< Largest level.
    double startLevel = 0.0; ///< Given once by each leader, StartLevelDelay after it began or got the rule.
    Base::Duration validity {};

    bool operator==(const AllowanceTerms &) const = default;
};

/// Most requests that `limit` and `tolerance` allow in any window.
double mostInWindow(const RateLimit &limit, const Tolerance &tolerance);

/// Without this delay, leaders that follow each other quickly could each give a start level.
constexpr Base::Duration StartLevelDelay = Base::seconds(1);

/// `limit.perSecond` must be positive.
AllowanceTerms termsFor(const RateLimit &limit, const Tolerance &tolerance);

} // namespace Allowance
