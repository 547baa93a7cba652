#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace Forward {

/// Time that a caller spends outside of this process. It counts against the latency target, which callers
/// measure from their first step.
struct CallerDelay
{
    Base::Duration network {}; ///< The request's way here and the answer's way back.
    Base::Duration lookUp {}; ///< Spent besides by a caller that asked for addresses first.
    double lookUpShare = 0.0; ///< Fraction of such callers; this process cannot tell which they are.
};

/// Estimates the delay from what the connection knows. `roundTrip`: as measured by the kernel, if known.
/// `firstOnConnection`: the caller waited for a handshake before it sent the request.
CallerDelay estimateCallerDelay(std::optional<Base::Duration> roundTrip, bool firstOnConnection);

} // namespace Forward
