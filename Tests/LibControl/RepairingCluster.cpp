#include "LibControl/RepairingCluster.h"

#include "LibConsensus/NodeIdentity.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

using Control::MembershipPlanner;

void RepairingCluster::step(const std::set<std::size_t> &isolated)
{
    for (std::size_t index = 0; index < cluster_.size(); ++index) {
        if (cluster_.node(index) == nullptr)
            continue;
        if (cluster_.node(index)->isLeader(cluster_.now()))
            runLeader(index);
        else if (!isLeaving(index))
            requestJoin(index, isolated);
        if (isLeaving(index))
            continueLeaving(index, isolated);
    }
    deliverJoinReplies();
}

void RepairingCluster::run(Base::Duration time, const std::set<std::size_t> &isolated)
{
    constexpr Base::Duration TickInterval = Base::milliseconds(30);
    for (Base::Duration passed {}; passed < time && cluster_.violations.empty(); passed += TickInterval) {
        cluster_.run(TickInterval, isolated);
        step(isolated);
    }
}

void RepairingCluster::runLeader(std::size_t index)
{
    auto &node = *cluster_.node(index);
    const auto status = node.status(cluster_.now());
    auto next = MembershipPlanner::next(status, 2 * tolerated_ + 1);
    if (!next) {
        next = MembershipPlanner::withoutGone(status, 2 * tolerated_ + 1, RemovalDelay);
        removals += next ? 1 : 0;
    }
    if (next && node.proposeMembership(cluster_.now(), *next))
        cluster_.takeReady(index);
}

void RepairingCluster::beginLeaving(std::size_t index)
{
    leavingSince_.try_emplace(index, cluster_.now());
}

void RepairingCluster::continueLeaving(std::size_t index, const std::set<std::size_t> &isolated)
{
    using LeaveAnswer = MembershipPlanner::LeaveAnswer;
    const auto self = Consensus::identityOf(cluster_.member(index, false));
    const auto voterTarget = 2 * tolerated_ + 1;
    auto answer =
        MembershipPlanner::leave(cluster_.node(index)->status(cluster_.now()), self, voterTarget).answer;
    const auto leader = cluster_.leader();
    const bool reachesLeader =
        leader < cluster_.size()
        && (leader == index || (!isolated.contains(index) && !isolated.contains(leader)));
    if (answer != LeaveAnswer::Needed && answer != LeaveAnswer::Gone && reachesLeader) {
        auto &node = *cluster_.node(leader);
        const auto step = MembershipPlanner::leave(node.status(cluster_.now()), self, voterTarget);
        answer = step.answer;
        if ((answer == LeaveAnswer::Remove || answer == LeaveAnswer::Prepare)
            && node.proposeMembership(cluster_.now(), step.membership))
            cluster_.takeReady(leader);
    }
    const bool decided = answer == LeaveAnswer::Gone || answer == LeaveAnswer::Needed;
    if (decided || cluster_.now() - leavingSince_.at(index) >= LeaveTime)
        cluster_.retire(index);
}

void RepairingCluster::requestJoin(std::size_t index, const std::set<std::size_t> &isolated)
{
    const auto status = cluster_.node(index)->status(cluster_.now());
    const auto self = cluster_.member(index, false);
    Base::Duration silence {};
    bool isMember = false;
    for (const auto &member : status.members) {
        silence = std::max(silence, member.silentFor);
        isMember = isMember || Consensus::identityOf(member.member) == Consensus::identityOf(self);
    }
    const bool leaderLost = status.leaderId.empty() || silence > LeaderSilenceUntilJoin;
    const auto leader = cluster_.leader();
    if ((isMember && !leaderLost) || leader == cluster_.size() || isolated.contains(index)
        || isolated.contains(leader))
        return;
    handleJoin(leader, index, self);
}

void RepairingCluster::handleJoin(std::size_t leader, std::size_t applicant, const Wire::RaftMember &self)
{
    auto &node = *cluster_.node(leader);
    const auto status = node.status(cluster_.now());
    // Before an entry of its own term is applied, a leader may not know the newest membership.
    if (cluster_.store(leader).termAt(status.appliedIndex) != status.term)
        return;
    const auto &store = cluster_.store(applicant);
    const bool holdsLog = store.snapshot().has_value() || store.lastIndex() > 0;
    const auto step = MembershipPlanner::join(status, self, holdsLog);
    if (step.answer == JoinAnswer::Add && node.proposeMembership(cluster_.now(), step.membership))
        cluster_.takeReady(leader);
    pendingReplies_.push_back({applicant, self.incarnation, step.answer});
}

// Replies may be late: the node may have a new incarnation by then.
void RepairingCluster::deliverJoinReplies()
{
    const auto replies = std::exchange(pendingReplies_, {});
    for (const auto &reply : replies) {
        if (random_.below(100) < lateReplyPercent_) {
            pendingReplies_.push_back(reply);
            continue;
        }
        const bool current = cluster_.member(reply.node, false).incarnation == reply.incarnation;
        if (reply.answer != JoinAnswer::SetLogAside || !current || cluster_.node(reply.node) == nullptr)
            continue;
        // Only injected disk losses are tolerated; the repair must not also take the log of a committed
        // voter.
        if (isCommittedVoter(reply.node))
            cluster_.violations.push_back(fmt::format("voter {} sets its log aside", idOf(reply.node)));
        cluster_.wipe(reply.node);
        cluster_.restart(reply.node);
        ++logsSetAside;
    }
}

bool RepairingCluster::isCommittedVoter(std::size_t index) const
{
    const auto &members = cluster_.committedMembership().members;
    return std::find(members.begin(), members.end(), cluster_.member(index, true)) != members.end();
}

bool RepairingCluster::isRepaired() const
{
    const auto &members = cluster_.committedMembership().members;
    std::size_t nodes = 0;
    std::size_t voters = 0;
    for (std::size_t index = 0; index < cluster_.size(); ++index) {
        if (cluster_.isRetired(index))
            continue;
        const auto self = Consensus::identityOf(cluster_.member(index, true));
        const auto found = std::find_if(members.begin(), members.end(), [&self](const auto &member) {
            return Consensus::identityOf(member) == self;
        });
        if (found == members.end())
            return false;
        ++nodes;
        voters += found->voter ? 1 : 0;
    }
    const bool oneStandsBy = voters + 1 == nodes && voters % 2 == 1 && voters > 2 * tolerated_;
    return members.size() == nodes && (voters == nodes || oneStandsBy);
}
