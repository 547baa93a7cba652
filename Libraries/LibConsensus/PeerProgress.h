#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace Consensus {

/// Earlier than any instant of the boot-time clock by more than any timeout.
constexpr Base::Instant NeverAnswered {-std::chrono::hours(24 * 365)};

/// Replication and vote state of one other member.
struct PeerProgress
{
    Base::Instant lastContact {}; ///< Receipt of the last message of any kind.
    bool voteGranted = false; ///< In the current pre-vote or vote.

    /// Send time of the latest request of this term that was answered; counts towards the leader's lease.
    Base::Instant answeredSendTime = NeverAnswered;
    std::uint64_t matchIndex = 0; ///< Highest entry known to be synced at the member.
    std::uint64_t nextIndex = 1;
    bool probing = true; ///< The match index is not known yet; one append request is sent at a time.
    unsigned inFlightAppends = 0; ///< Requests with entries sent since the last reply or heartbeat.
    std::uint64_t inFlightSnapshotIndex = 0; ///< Last index of the snapshot in flight; 0 when there is none.
    Base::Instant snapshotSentAt {};
};

} // namespace Consensus
