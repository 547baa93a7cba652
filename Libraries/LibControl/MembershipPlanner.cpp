#include "LibControl/MembershipPlanner.h"

#include "LibControl/RaftWatch.h"
#include "LibControl/VoterEligibility.h"

#include <algorithm>
#include <vector>

namespace Control {

namespace {

bool isResponsive(const Consensus::MemberStatus &member)
{
    return member.silentFor < RaftWatch::UnheardAfter;
}

bool isCaughtUpLearner(const Consensus::RaftStatus &status, const Consensus::MemberStatus &member)
{
    return !member.member.voter && isEligible(status, member.member) && isResponsive(member)
           && member.matchIndex >= status.commitIndex;
}

/// Members are listed in the order in which they were added. If a later incarnation of a node has answered
/// this leader, it was started after the earlier ones were members, on an empty data directory: they can
/// never answer again. A late join request of an incarnation that is gone itself supersedes nothing, because
/// it never answers.
bool isSuperseded(const Consensus::RaftStatus &status, std::size_t position)
{
    const auto &nodeId = status.members[position].member.nodeId;
    const auto later = status.members.begin() + static_cast<std::ptrdiff_t>(position) + 1;
    return std::any_of(later, status.members.end(), [&](const auto &other) {
        return other.member.nodeId == nodeId && other.matchIndex > 0;
    });
}

/// Tells whether the membership still lists an incarnation of the member's node that was added before it.
bool hasEarlierIncarnation(const Consensus::RaftStatus &status, std::size_t position)
{
    const auto end = status.members.begin() + static_cast<std::ptrdiff_t>(position);
    return std::any_of(status.members.begin(), end, [&](const auto &other) {
        return other.member.nodeId == status.members[position].member.nodeId;
    });
}

/// Positions of the learners that could have a vote now.
std::vector<std::size_t> readyLearners(const Consensus::RaftStatus &status)
{
    std::vector<std::size_t> ready;
    for (std::size_t position = 0; position < status.members.size(); ++position) {
        if (isCaughtUpLearner(status, status.members[position]) && !hasEarlierIncarnation(status, position))
            ready.push_back(position);
    }
    return ready;
}

Wire::RaftMembership withVoter(const Consensus::RaftStatus &status, std::size_t position)
{
    auto membership = MembershipPlanner::present(status);
    membership.members[position].voter = true;
    return membership;
}

/// Whether the member holds the membership that the leader has, so that the next one can be committed with
/// it.
bool followsMembership(const Consensus::RaftStatus &status, const Consensus::MemberStatus &member)
{
    return isResponsive(member) && member.matchIndex >= status.membershipIndex;
}

/// Returns a voter without a disk that must not count any more, because others with a disk vote. The leader
/// goes last, so that it can remove the rest. All eligible voters must follow: once one is lost, the ones
/// without a disk may be what a majority needs.
const Wire::RaftMember *replacedVoter(const Consensus::RaftStatus &status)
{
    const Wire::RaftMember *replaced = nullptr;
    bool hasEligibleVoter = false;
    for (const auto &member : status.members) {
        if (!member.member.voter)
            continue;
        if (!isEligible(status, member.member)) {
            if (replaced == nullptr || member.member.nodeId != status.leaderId)
                replaced = &member.member;
            continue;
        }
        hasEligibleVoter = true;
        if (!followsMembership(status, member))
            return nullptr;
    }
    return hasEligibleVoter ? replaced : nullptr;
}

/// A learner beyond the target gets a vote only if the number of voters is odd with it, or with a further
/// learner that is ready as well.
bool shouldPromote(std::size_t voters, std::size_t voterTarget, std::size_t ready)
{
    if (ready == 0)
        return false;
    return voters < voterTarget || voters % 2 == 0 || ready > 1;
}

} // namespace

std::optional<Wire::RaftMembership> MembershipPlanner::next(const Consensus::RaftStatus &status,
                                                            std::size_t voterTarget)
{
    const auto ready = readyLearners(status);
    if (shouldPromote(eligibleVoterCount(status), voterTarget, ready.size()))
        return withVoter(status, ready.front());
    if (const auto *replaced = replacedVoter(status))
        return without(present(status), *replaced);
    for (std::size_t position = 0; position < status.members.size(); ++position) {
        if (isSuperseded(status, position))
            return without(present(status), status.members[position].member);
    }
    return std::nullopt;
}

std::optional<Wire::RaftMembership> MembershipPlanner::withoutGone(const Consensus::RaftStatus &status,
                                                                   std::size_t voterTarget,
                                                                   Base::Duration silenceLimit)
{
    const auto responsiveVoters = static_cast<std::size_t>(
        std::count_if(status.members.begin(), status.members.end(), [&status](const auto &member) {
            return member.member.voter && isEligible(status, member.member) && isResponsive(member);
        }));
    for (const auto &member : status.members) {
        if (member.silentFor < silenceLimit)
            continue;
        if (!member.member.voter || responsiveVoters >= voterTarget)
            return without(present(status), member.member);
        if (const auto ready = readyLearners(status); !ready.empty())
            return withVoter(status, ready.front());
    }
    return std::nullopt;
}

MembershipPlanner::JoinStep MembershipPlanner::join(const Consensus::RaftStatus &status,
                                                    const Wire::RaftMember &node, bool holdsLog)
{
    auto membership = present(status);
    const bool isMember =
        std::any_of(membership.members.begin(), membership.members.end(), [&](const auto &member) {
            return Consensus::identityOf(member) == Consensus::identityOf(node);
        });
    if (isMember)
        return {JoinAnswer::IsMember, {}};
    if (status.membershipIndex > status.commitIndex)
        return {JoinAnswer::AskAgain, {}};
    if (holdsLog)
        return {JoinAnswer::SetLogAside, {}};
    membership.members.push_back(node);
    return {JoinAnswer::Add, std::move(membership)};
}

MembershipPlanner::LeaveStep MembershipPlanner::leave(const Consensus::RaftStatus &status,
                                                      const Consensus::NodeIdentity &node,
                                                      std::size_t voterTarget)
{
    const Wire::RaftMember *leaving = nullptr;
    std::size_t otherVoters = 0;
    std::size_t responsiveVoters = 0;
    std::size_t futureVoters = 0;
    for (const auto &member : status.members) {
        if (Consensus::identityOf(member.member) == node) {
            leaving = &member.member;
            continue;
        }
        otherVoters += member.member.voter ? 1 : 0;
        responsiveVoters += member.member.voter && isResponsive(member) ? 1 : 0;
        const bool canVote = !member.member.voter && isEligible(status, member.member);
        futureVoters += canVote && isResponsive(member) ? 1 : 0;
    }
    const bool isCommitted = status.membershipIndex <= status.commitIndex;
    if (leaving == nullptr)
        return {isCommitted ? LeaveAnswer::Gone : LeaveAnswer::AskAgain, {}};
    // Without a disk, the node loses its log whether it stays a member or not.
    const auto votersAfterwards = std::max<std::size_t>(1, otherVoters + futureVoters);
    const auto votersNeeded = leaving->hasDisk ? voterTarget : std::min(voterTarget, votersAfterwards);
    if (leaving->voter && otherVoters + futureVoters < votersNeeded)
        return {LeaveAnswer::Needed, {}};
    const bool othersHaveMajority = responsiveVoters > otherVoters / 2;
    const bool enoughVoters = !leaving->voter || otherVoters >= votersNeeded;
    if (!isCommitted || !othersHaveMajority)
        return {LeaveAnswer::AskAgain, {}};
    if (!enoughVoters) {
        const auto ready = readyLearners(status);
        return ready.empty() ? LeaveStep {}
                             : LeaveStep {LeaveAnswer::Prepare, withVoter(status, ready.front())};
    }
    return {LeaveAnswer::Remove, without(present(status), *leaving)};
}

Wire::RaftMembership MembershipPlanner::present(const Consensus::RaftStatus &status)
{
    Wire::RaftMembership membership;
    for (const auto &member : status.members)
        membership.members.push_back(member.member);
    return membership;
}

std::optional<Wire::RaftMember> MembershipPlanner::findUnheard(const Consensus::RaftStatus &status,
                                                               const std::string &nodeId)
{
    for (const auto &member : status.members) {
        if (member.member.nodeId == nodeId && !isResponsive(member))
            return member.member;
    }
    return std::nullopt;
}

Wire::RaftMembership MembershipPlanner::without(Wire::RaftMembership membership,
                                                const Wire::RaftMember &member)
{
    std::erase(membership.members, member);
    return membership;
}

} // namespace Control
