#pragma once

#include "LibBase/Time.h"
#include "LibForward/ConcurrencyLimit.h"

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace Forward {

/// What a gateway has learned of a server over a long time. Exists only where limits are learned.
struct ServerHistory : public boost::intrusive_ref_counter<ServerHistory, boost::thread_unsafe_counter>
{
    ConcurrencyLimit concurrency;
    std::uint32_t reportedLimit = 0; ///< As last logged; 0 before that.
    double slowness = 1.0; ///< Long moving average of latency over the route's mean, as of `slownessAt`.
    Base::Instant slownessAt;
};

} // namespace Forward
