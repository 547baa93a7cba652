#pragma once

#include "LibForward/RouteTimes.h"
#include "LibRoute/Configuration.h"

#include <algorithm>

namespace Forward {

/// Returns how long a request of the route may be expected to take, `times` being null before the first
/// attempt. A gateway that is about to stop refuses what it could not answer any more. Load pattern: callers
/// use an old look-up result until the gateway ends, and another gateway would serve them at once.
inline Base::Duration expectedDuration(const Route::RouteRule &route, const RouteTimes *times)
{
    /// A request that may run only once is lost if it is cut off, so it gets a multiple of what slow ones
    /// take.
    constexpr int AtMostOnceFactor = 3;
    // A gather is answered at the target with the parts that it has.
    const auto tail = times != nullptr && !route.gather ? times->tail() : std::nullopt;
    const auto usual = tail.value_or(route.latencyTarget);
    const bool once = route.repeatability == Route::Repeatability::AtMostOnce;
    return std::min(once ? AtMostOnceFactor * usual : usual, route.timeout);
}

} // namespace Forward
