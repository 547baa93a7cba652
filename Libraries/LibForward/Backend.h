#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibBase/Time.h"
#include "LibWire/RegistryMessages.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <vector>

namespace Forward {

/// One incarnation of a backend server with what this gateway has seen of it.
struct Backend : public boost::intrusive_ref_counter<Backend, boost::thread_unsafe_counter>
{
    Wire::ServerRecord record;
    Base::Instant firstListedAt;
    Base::Instant warmAt; ///< End of its slow start.
    bool listed = true; ///< False once the platform's list lacks it.
    bool displaced = false; ///< Its address belongs to another server by now.
    std::uint32_t absentReads = 0; ///< Reads of the list in a row that lacked it.

    std::vector<Base::Instant> openSince; ///< Send times of attempts without a reply, oldest first.
    Base::Instant unansweredSince = Base::Instant::max(); ///< Earliest send since it was last heard.
    double slowness = 1.0; ///< Its latency relative to the route's mean, averaged as of `slownessAt`.
    Base::Instant slownessAt;
    double errorRate = 0.0; ///< Moving average over attempts, as of `errorRateAt`.
    Base::Instant errorRateAt;
    std::uint32_t failuresInRow = 0; ///< Attempts that could not be sent or got no reply.
    Base::Instant avoidUntil; ///< After failures in a row.
    Adapter::ServerLoad load; ///< Its own last report.
    Base::Instant loadAt;
    bool loadKnown = false;

    bool acceptsWork() const { return listed && !displaced && record.state == Wire::ServerState::Ready; }
};

using BackendPointer = boost::intrusive_ptr<Backend>;

} // namespace Forward
