#pragma once

#include "LibBase/RandomSource.h"
#include "LibConsensus/SimulatedCluster.h"
#include "LibControl/MembershipPlanner.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Runs the membership logic of registries on the nodes of a simulated cluster: leaders change the membership
/// as the planner says, and nodes that are no members, or have lost the leader, ask to join.
class RepairingCluster
{
public:
    /// As in the registries: silence after which a voter is removed, and silence of the leader after which a
    /// member asks to join.
    static constexpr Base::Duration RemovalDelay = Base::milliseconds(2000);
    static constexpr Base::Duration LeaderSilenceUntilJoin = Base::milliseconds(2000);
    /// How long a node that was told to stop waits for its removal.
    static constexpr Base::Duration LeaveTime = Base::milliseconds(5400);

    /// `lateReplyPercent` of the replies to join requests are held back until a later step.
    RepairingCluster(SimulatedCluster &cluster, std::size_t tolerated, Base::RandomSource &random,
                     unsigned lateReplyPercent)
        : cluster_(cluster)
        , tolerated_(tolerated)
        , random_(random)
        , lateReplyPercent_(lateReplyPercent)
    {
    }

    /// Takes one step of the membership logic at each node; `isolated` nodes reach no others.
    void step(const std::set<std::size_t> &isolated = {});

    /// Tells a node to stop for good. It ends when it has been removed, when it is needed as a member, or
    /// after LeaveTime.
    void beginLeaving(std::size_t index);

    /// Lets time pass in the steps of a registry's tick.
    void run(Base::Duration time, const std::set<std::size_t> &isolated = {});

    /// Tells whether each node is a committed member and votes, but for one that keeps their number odd.
    bool isRepaired() const;

    std::string idOf(std::size_t index) const { return cluster_.member(index, true).nodeId; }

    unsigned logsSetAside = 0;
    unsigned removals = 0;

private:
    using JoinAnswer = Control::MembershipPlanner::JoinAnswer;

    struct PendingReply
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0; ///< Of the node when it asked.
        JoinAnswer answer = JoinAnswer::AskAgain;
    };

    bool isLeaving(std::size_t index) const { return leavingSince_.contains(index); }
    void runLeader(std::size_t index);
    void continueLeaving(std::size_t index, const std::set<std::size_t> &isolated);
    void requestJoin(std::size_t index, const std::set<std::size_t> &isolated);
    void handleJoin(std::size_t leader, std::size_t applicant, const Wire::RaftMember &self);
    void deliverJoinReplies();
    bool isCommittedVoter(std::size_t index) const;

    SimulatedCluster &cluster_;
    std::size_t tolerated_;
    Base::RandomSource &random_;
    unsigned lateReplyPercent_;
    std::vector<PendingReply> pendingReplies_;
    std::map<std::size_t, Base::Instant> leavingSince_;
};
