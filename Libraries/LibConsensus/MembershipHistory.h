#pragma once

#include "LibBase/Error.h"
#include "LibConsensus/NodeIdentity.h"
#include "LibWire/RaftMessages.h"

#include <cstdint>
#include <vector>

namespace Consensus {

/// Memberships in force at log indices. A membership entry is in force from its append on, committed or not.
class MembershipHistory
{
public:
    /// Starts from the membership of a snapshot whose last entry is `index`.
    void reset(std::uint64_t index, Wire::RaftMembership membership);
    void append(std::uint64_t index, Wire::RaftMembership membership);
    /// Forgets memberships of entries from `index` on.
    void truncateFrom(std::uint64_t index);
    /// Forgets memberships that are not needed to answer for `index` and later.
    void compact(std::uint64_t index);

    const Wire::RaftMembership &latest() const { return steps_.back().membership; }
    /// Index of the entry that holds the latest membership; 0 when there is none.
    std::uint64_t latestIndex() const { return steps_.back().index; }
    /// Membership in force at `index`.
    const Wire::RaftMembership &at(std::uint64_t index) const;

    /// Latest entry of `identity`; null when it is no member.
    const Wire::RaftMember *find(const NodeIdentity &identity) const;
    bool isVoter(const NodeIdentity &identity) const;
    /// Whether a membership in force at `index` or later has `identity` as voter.
    bool isVoterSince(std::uint64_t index, const NodeIdentity &identity) const;

private:
    struct Step
    {
        std::uint64_t index = 0;
        Wire::RaftMembership membership;
    };

    std::vector<Step> steps_ {Step {}};
};

} // namespace Consensus
