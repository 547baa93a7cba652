#pragma once

#include "LibAdapter/PlatformAdapter.h"
#include "LibBase/Time.h"
#include "LibForward/ServerHistory.h"
#include "LibWire/RegistryMessages.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <optional>
#include <vector>

namespace Forward {

/// Whether a server may get a new attempt.
enum class Availability : std::uint8_t {
    None,
    LastResort, ///< Only while no other server of its service may.
    Usual
};

/// Why a server can get no new attempt now.
enum class Obstacle : std::uint8_t {
    None,
    NotReady, ///< By the platform's list: it drains, or is gone.
    Displaced,
    Evacuated,
    Misdirected,
    Left, ///< The end of its use that followed from its announcement has passed.
    Paused,
    Full, ///< Open attempts have reached its limit.
    NoUnit ///< It is cold, and no unit for it is in stock.
};

/// One incarnation of a backend server with this gateway's observations of it.
struct Backend : public boost::intrusive_ref_counter<Backend, boost::thread_unsafe_counter>
{
    Wire::ServerRecord record;
    Base::Instant firstListedAt; ///< Since it was last removed.
    Base::Instant warmAt; ///< End of its warm-up.
    bool listed = true; ///< False once it has been removed from the platform's list.
    bool displaced = false; ///< By the latest list, its address belongs to a newer server.
    /// Set while another server has answered at its address; it gets nothing before then.
    std::optional<Base::Instant> misdirectedUntil;
    bool evacuated = false; ///< Operators have ordered that its data centre gets nothing.
    /// Set at the end of an evacuation, when it may have become cold unnoticed. Until then it counts as cold.
    Base::Instant presumedColdUntil;
    Base::Instant reportedColdUntil; ///< By its last response that told it.
    bool notedCold = false; ///< The table that holds it has it among those that may be cold.
    /// Of the unit that the last choice of this server has spent, until the attempt takes it over.
    std::optional<Base::Instant> unitValidUntil;
    std::uint32_t misdirections = 0; ///< Such answers in a row.
    std::uint32_t absentReads = 0; ///< Consecutive list reads without it.
    /// Set once the server has announced in a response that it leaves: the end of its use as a last resort.
    /// The platform's list shows it as draining later.
    std::optional<Base::Instant> lastUse;

    Base::Instant pausedUntil; ///< It has asked for no request before then.
    bool resuming = false; ///< It has not served anything since its last pause.

    std::vector<Base::Instant> openSince; ///< Send times of open attempts, oldest first.
    Base::Instant unansweredSince = Base::Instant::max(); ///< Earliest send since its last response.
    double slowness = 1.0; ///< Moving average of its latency over the route's mean, as of `slownessAt`.
    Base::Instant slownessAt;
    double errorRate = 0.0; ///< Moving average over attempts, as of `errorRateAt`.
    Base::Instant errorRateAt;
    std::uint32_t consecutiveFailures = 0; ///< Attempts that could not be sent or got no reply.
    Base::Instant avoidUntil; ///< Used only as a last resort until then, after repeated failures.
    Adapter::ServerLoad load; ///< Last load that the server reported.
    Base::Instant loadAt;
    bool loadKnown = false;
    boost::intrusive_ptr<ServerHistory> history; ///< Null unless limits are learned.

    /// Whether the list names it as a server to use.
    bool isListedReady() const { return listed && !displaced && record.state == Wire::ServerState::Ready; }

    /// Whether connections to it are kept for later requests.
    bool keepsConnections() const { return isListedReady() && !evacuated && !lastUse && !misdirectedUntil; }

    /// Apart from a pause that it has asked for, and from its room.
    Obstacle obstacleAfterPause(Base::Instant now) const
    {
        if (!isListedReady())
            return displaced ? Obstacle::Displaced : Obstacle::NotReady;
        if (evacuated)
            return Obstacle::Evacuated;
        if (misdirectedUntil && now < *misdirectedUntil)
            return Obstacle::Misdirected;
        return lastUse && now >= *lastUse ? Obstacle::Left : Obstacle::None;
    }

    /// Apart from a pause that it has asked for.
    Availability availabilityAfterPause(Base::Instant now) const
    {
        if (obstacleAfterPause(now) != Obstacle::None)
            return Availability::None;
        return lastUse ? Availability::LastResort : Availability::Usual;
    }

    Availability availability(Base::Instant now) const
    {
        return now < pausedUntil ? Availability::None : availabilityAfterPause(now);
    }

    /// Whether it serves slowly, as after a start.
    bool isCold(Base::Instant now) const
    {
        return now < warmAt || now < presumedColdUntil || now < reportedColdUntil;
    }

    bool acceptsWork(Base::Instant now) const { return availability(now) != Availability::None; }
};

using BackendPointer = boost::intrusive_ptr<Backend>;

} // namespace Forward
