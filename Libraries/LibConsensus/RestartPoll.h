#pragma once

#include "LibBase/Time.h"
#include "LibConsensus/NodeIdentity.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <utility>

namespace Consensus {

/// Rounds of questions of a restarted node to all members that could lead: does a leader exist, as far as you
/// know? If, in one round, none of them leads, and none has heard from a leader since its process started, no
/// member relies on a lease, so an election need not wait for the election timeout.
///
/// A majority is not enough: a leader may rely on the answers of members that have restarted since. A
/// member's reply counts only if its process started before the round, so that no earlier process of it can
/// have answered a leader during the round.
class RestartPoll
{
public:
    explicit RestartPoll(NodeIdentity self)
        : self_(std::move(self))
    {
    }

    /// Starts a round; replies to earlier rounds no longer count. `members` are the others.
    void begin(Base::Instant now, std::span<const NodeIdentity> members);

    /// Records that a member knows of no leader. Returns true if this node should start an election: the
    /// round is complete, and members with lower identities had one round each to do so. Without an order,
    /// members that restart together would split the votes.
    bool record(Base::Instant now, const NodeIdentity &member, std::uint64_t round, std::uint64_t processId,
                Base::Duration uptime);

    /// Identifies the round in requests and replies.
    std::uint64_t round() const { return round_; }

    /// Process whose reply counted in this round; 0 if there is none.
    std::uint64_t processOf(const NodeIdentity &member) const;

private:
    NodeIdentity self_;
    Base::Instant startedAt_ {};
    std::uint64_t round_ = 0;
    std::ptrdiff_t completeRounds_ = 0;
    std::map<NodeIdentity, std::uint64_t> processes_; ///< By member; 0 while its reply is missing.
};

} // namespace Consensus
