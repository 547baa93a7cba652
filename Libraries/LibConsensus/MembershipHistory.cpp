#include "LibConsensus/MembershipHistory.h"

#include <algorithm>
#include <utility>

namespace Consensus {

namespace {

const Wire::RaftMember *findIn(const Wire::RaftMembership &membership, const NodeIdentity &identity)
{
    const auto &members = membership.members;
    const auto found = std::find_if(members.begin(), members.end(), [&](const Wire::RaftMember &member) {
        return member.nodeId == identity.nodeId && member.incarnation == identity.incarnation;
    });
    return found == members.end() ? nullptr : &*found;
}

} // namespace

void MembershipHistory::reset(std::uint64_t index, Wire::RaftMembership membership)
{
    steps_.clear();
    steps_.push_back({index, std::move(membership)});
}

void MembershipHistory::append(std::uint64_t index, Wire::RaftMembership membership)
{
    steps_.push_back({index, std::move(membership)});
}

void MembershipHistory::truncateFrom(std::uint64_t index)
{
    while (steps_.size() > 1 && steps_.back().index >= index)
        steps_.pop_back();
}

void MembershipHistory::compact(std::uint64_t index)
{
    const auto later =
        std::find_if(steps_.begin(), steps_.end(), [&](const Step &step) { return step.index > index; });
    if (later - steps_.begin() > 1)
        steps_.erase(steps_.begin(), later - 1);
}

const Wire::RaftMembership &MembershipHistory::at(std::uint64_t index) const
{
    const Step *found = &steps_.front();
    for (const auto &step : steps_) {
        if (step.index <= index)
            found = &step;
    }
    return found->membership;
}

const Wire::RaftMember *MembershipHistory::find(const NodeIdentity &identity) const
{
    return findIn(latest(), identity);
}

bool MembershipHistory::isVoter(const NodeIdentity &identity) const
{
    const auto *member = find(identity);
    return member != nullptr && member->voter;
}

bool MembershipHistory::isVoterSince(std::uint64_t index, const NodeIdentity &identity) const
{
    const auto *inForce = &at(index);
    return std::any_of(steps_.begin(), steps_.end(), [&](const Step &step) {
        const auto *member = findIn(step.membership, identity);
        const bool considered = step.index > index || &step.membership == inForce;
        return considered && member != nullptr && member->voter;
    });
}

} // namespace Consensus
