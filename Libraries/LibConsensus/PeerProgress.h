#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace Consensus {

/// Lies before every instant of the boot-time clock by more than any timeout.
constexpr Base::Instant NeverAnswered {-std::chrono::hours(24 * 365)};

/// What a node knows about one other member.
struct PeerProgress
{
    Base::Instant lastHeard {}; ///< Receipt of the last message of any kind.
    bool voteGranted = false; ///< In the current pre-vote or vote.

    /// Send time of the latest request of this term that was answered; counts towards the leader's lease.
    Base::Instant answeredSendTime = NeverAnswered;
    std::uint64_t matchIndex = 0; ///< Highest entry known to be synced at the member.
    std::uint64_t nextIndex = 1;
    bool probing = true; ///< The matching position is unknown; one request at a time.
    unsigned unanswered = 0; ///< Requests with entries sent since the last reply or heartbeat.
    std::uint64_t snapshotIndex = 0; ///< Last index of a snapshot under way; 0 when there is none.
    Base::Instant snapshotSentAt {};
};

} // namespace Consensus
