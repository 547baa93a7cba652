#pragma once

#include "LibConsensus/RaftNode.h"

#include <cstddef>

namespace Control {

/// A node without a disk loses what it has confirmed when its process ends. Its confirmation therefore counts
/// only in a cluster in which no member has a disk.
bool anyMemberHasDisk(const Consensus::RaftStatus &status);

/// Whether the member's vote counts towards what the cluster must survive.
bool isEligible(const Consensus::RaftStatus &status, const Wire::RaftMember &member);

/// Number of voters that are eligible.
std::size_t eligibleVoterCount(const Consensus::RaftStatus &status);

} // namespace Control
