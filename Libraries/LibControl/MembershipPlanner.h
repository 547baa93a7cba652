#pragma once

#include "LibConsensus/NodeIdentity.h"
#include "LibConsensus/RaftNode.h"

#include <cstdint>
#include <optional>

namespace Control {

/// Chooses membership changes from the leader's Raft status. Stateless.
class MembershipPlanner
{
public:
    /// Returns the membership to propose next: a caught-up learner that may vote becomes a voter while there
    /// are fewer than `voterTarget`, and beyond that only as far as the number of voters stays odd. An even
    /// number bears no more losses than one less, and has no majority when it is cut into halves. The learner
    /// that is left over stands by. A voter without a disk is removed once a voter has one.
    ///
    /// An incarnation whose node has lost its data directory since is removed, voter or not. A learner gets
    /// its vote only after the earlier incarnations of its node are removed: with both as voters, the loss of
    /// that disk once more would leave two voters that can never answer again. The removal costs no copy of
    /// the log, because the removed incarnation holds none any more.
    static std::optional<Wire::RaftMembership> next(const Consensus::RaftStatus &status,
                                                    std::size_t voterTarget);

    /// Returns the membership without one member that has been silent for `silenceLimit`. A voter is removed
    /// only while at least `voterTarget` voters are responsive; while there are fewer, a caught-up learner
    /// gets a vote instead. Fewer voters need fewer confirmations, so a node that never returns must not
    /// count towards the majority.
    static std::optional<Wire::RaftMembership>
    withoutGone(const Consensus::RaftStatus &status, std::size_t voterTarget, Base::Duration silenceLimit);

    enum class JoinAnswer : std::uint8_t {
        IsMember,
        Add, ///< Propose `membership`, which has the node as learner.
        SetLogAside, ///< The node was removed; its log may differ from the committed log.
        AskAgain ///< A membership change is uncommitted, so the node's membership is undecided.
    };
    struct JoinStep
    {
        JoinAnswer answer = JoinAnswer::AskAgain;
        Wire::RaftMembership membership;
    };

    /// Decides how a leader that knows the newest membership replies to the join request of `node`. A removal
    /// that is not committed may be overwritten by the next leader, and then the node's log still counts, so
    /// a node is told to set its log aside only after the commit.
    static JoinStep join(const Consensus::RaftStatus &status, const Wire::RaftMember &node, bool holdsLog);

    enum class LeaveAnswer : std::uint8_t {
        Gone, ///< The node is no member, and that is committed.
        Remove, ///< Propose `membership`, which is without the node.
        Prepare, ///< Propose `membership`, in which a learner has the vote in its place, and ask again.
        AskAgain, ///< The change is undecided, or the others do not form a majority yet.
        Needed ///< Too few voters would be left; the node stays a member while it is stopped.
    };
    struct LeaveStep
    {
        LeaveAnswer answer = LeaveAnswer::AskAgain;
        Wire::RaftMembership membership;
    };

    /// Decides what becomes of a node that is about to stop, and may never return. It is removed first if at
    /// least `voterTarget` voters are left, so that it does not count for the majority once it is gone. With
    /// fewer, as in a restart without a successor, removing it would lower the majority and discard its copy
    /// of the log. A node without a disk stays only while nobody else may vote. A follower may only rely on
    /// Needed and Gone, as it does not know which members respond.
    static LeaveStep leave(const Consensus::RaftStatus &status, const Consensus::NodeIdentity &node,
                           std::size_t voterTarget);

    /// Returns the current membership.
    static Wire::RaftMembership present(const Consensus::RaftStatus &status);

    /// Returns the unresponsive member with this node id.
    static std::optional<Wire::RaftMember> findUnheard(const Consensus::RaftStatus &status,
                                                       const std::string &nodeId);

    /// Returns `membership` without `member`.
    static Wire::RaftMembership without(Wire::RaftMembership membership, const Wire::RaftMember &member);
};

} // namespace Control
