#include "LibControl/MembershipPlanner.h"

#include "LibConsensus/NodeIdentity.h"
#include "LibControl/RaftWatch.h"

#include <algorithm>

namespace Control {

namespace {

bool isResponsive(const Consensus::MemberStatus &member)
{
    return member.silentFor < RaftWatch::UnheardAfter;
}

bool isCaughtUpLearner(const Consensus::MemberStatus &member, std::uint64_t commitIndex)
{
    return !member.member.voter && member.member.mayVote && isResponsive(member)
           && member.matchIndex >= commitIndex;
}

/// Tells whether `member` is unresponsive and another incarnation of its node is a responsive voter.
bool hasReplacement(const Consensus::RaftStatus &status, const Consensus::MemberStatus &member)
{
    if (isResponsive(member))
        return false;
    return std::any_of(status.members.begin(), status.members.end(), [&](const auto &other) {
        return other.member.nodeId == member.member.nodeId && other.member.voter && isResponsive(other)
               && other.member.incarnation != member.member.incarnation;
    });
}

} // namespace

std::optional<Wire::RaftMembership> MembershipPlanner::next(const Consensus::RaftStatus &status)
{
    auto membership = present(status);
    for (std::size_t position = 0; position < status.members.size(); ++position) {
        if (isCaughtUpLearner(status.members[position], status.commitIndex)) {
            membership.members[position].voter = true;
            return membership;
        }
    }
    for (const auto &member : status.members) {
        if (hasReplacement(status, member))
            return without(std::move(membership), member.member);
    }
    return std::nullopt;
}

std::optional<Wire::RaftMembership> MembershipPlanner::withoutGone(const Consensus::RaftStatus &status,
                                                                   std::size_t voterTarget,
                                                                   Base::Duration silenceLimit)
{
    const auto responsiveVoters = static_cast<std::size_t>(
        std::count_if(status.members.begin(), status.members.end(),
                      [](const auto &member) { return member.member.voter && isResponsive(member); }));
    for (const auto &member : status.members) {
        if (member.silentFor >= silenceLimit && (!member.member.voter || responsiveVoters >= voterTarget))
            return without(present(status), member.member);
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
