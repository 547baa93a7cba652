#pragma once

#include "LibConsensus/RaftNode.h"

#include <cstdint>
#include <optional>

namespace Control {

/// Decides the next step of a repair from what the leader sees. Pure.
class MembershipPlanner
{
public:
    /// Returns the membership to propose next: a learner that holds the log and may vote becomes a voter, and
    /// an unheard voter whose node has another, heard voter is removed. The new copy comes first, so that no
    /// step leaves fewer copies of the log.
    static std::optional<Wire::RaftMembership> next(const Consensus::RaftStatus &status);

    /// Returns the membership without a node that is gone: a learner or voter that has been unheard for
    /// `goneAfter`, while at least `voterTarget` other voters are heard. Fewer voters need fewer
    /// confirmations, so a node that never comes back must not count for the majority.
    static std::optional<Wire::RaftMembership> withoutGone(const Consensus::RaftStatus &status,
                                                           std::size_t voterTarget, Base::Duration goneAfter);

    enum class JoinAnswer : std::uint8_t {
        IsMember,
        Add, ///< Propose `membership`, which has the node as learner.
        SetLogAside, ///< It was removed: what its log says may differ from what was decided without it.
        AskAgain ///< A change is under way, so whether it is a member is not decided yet.
    };
    struct JoinStep
    {
        JoinAnswer answer = JoinAnswer::AskAgain;
        Wire::RaftMembership membership;
    };

    /// Decides what a leader that knows the newest membership answers to a node that asks to be a member. A
    /// removal that is not committed may be undone by the next leader, and then the node's log still counts;
    /// so nobody is told to set a log aside before.
    static JoinStep join(const Consensus::RaftStatus &status, const Wire::RaftMember &node, bool holdsLog);

    /// Returns the present membership.
    static Wire::RaftMembership present(const Consensus::RaftStatus &status);

    /// Returns the unheard member with this node id.
    static std::optional<Wire::RaftMember> findUnheard(const Consensus::RaftStatus &status,
                                                       const std::string &nodeId);

    /// Returns `membership` without `member`.
    static Wire::RaftMembership without(Wire::RaftMembership membership, const Wire::RaftMember &member);
};

} // namespace Control
