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
    entries_.clear();
    entries_.push_back({index, std::move(membership)});
}

void MembershipHistory::append(std::uint64_t index, Wire::RaftMembership membership)
{
    entries_.push_back({index, std::move(membership)});
}

void MembershipHistory::truncateFrom(std::uint64_t index)
{
    while (entries_.size() > 1 && entries_.back().index >= index)
        entries_.pop_back();
}

void MembershipHistory::compact(std::uint64_t index)
{
    const auto later = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const Entry &entry) { return entry.index > index; });
    if (later - entries_.begin() > 1)
        entries_.erase(entries_.begin(), later - 1);
}

const Wire::RaftMembership &MembershipHistory::at(std::uint64_t index) const
{
    const Entry *found = &entries_.front();
    for (const auto &entry : entries_) {
        if (entry.index <= index)
            found = &entry;
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

bool MembershipHistory::isVoterAtOrAfter(std::uint64_t index, const NodeIdentity &identity) const
{
    const auto *inEffect = &at(index);
    return std::any_of(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        const auto *member = findIn(entry.membership, identity);
        const bool considered = entry.index > index || &entry.membership == inEffect;
        return considered && member != nullptr && member->voter;
    });
}

} // namespace Consensus
