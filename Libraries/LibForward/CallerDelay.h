#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace Forward {

/// Time that a caller spends outside of this process. It counts against the latency target, because callers
/// measure from their first step, such as a look-up or a connection.
struct CallerDelay
{
    Base::Duration network {}; ///< Transit of the request and of the answer.
    Base::Duration lookUp {}; ///< Additional time of a caller that looked up gateway addresses first.
    double lookUpShare = 0.0; ///< Fraction of such callers; this process cannot tell which they are.
};

/// Estimates the delay of a request from its connection. `roundTrip` is the kernel's measurement, if known.
/// `firstOnConnection` means that the caller waited for a handshake before it sent the request.
CallerDelay estimateCallerDelay(std::optional<Base::Duration> roundTrip, bool firstOnConnection);

} // namespace Forward
