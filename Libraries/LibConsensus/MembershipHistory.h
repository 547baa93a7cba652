#pragma once

#include "LibBase/Error.h"
#include "LibConsensus/NodeIdentity.h"
#include "LibWire/RaftMessages.h"

#include <cstdint>
#include <vector>

namespace Consensus {

/// Memberships by log index. A membership takes effect when its entry is appended, committed or not.
class MembershipHistory
{
public:
    /// Starts from the membership of a snapshot whose last entry is `index`.
    void reset(std::uint64_t index, Wire::RaftMembership membership);
    void append(std::uint64_t index, Wire::RaftMembership membership);
    /// Removes memberships of entries from `index` on.
    void truncateFrom(std::uint64_t index);
    /// Removes memberships that are not needed for lookups at `index` and later.
    void compact(std::uint64_t index);

    const Wire::RaftMembership &latest() const { return entries_.back().membership; }
    /// Index of the entry that holds the latest membership; 0 when there is none.
    std::uint64_t latestIndex() const { return entries_.back().index; }
    /// Membership in effect at `index`.
    const Wire::RaftMembership &at(std::uint64_t index) const;

    /// Member with `identity` in the latest membership; null when there is none.
    const Wire::RaftMember *find(const NodeIdentity &identity) const;
    bool isVoter(const NodeIdentity &identity) const;
    /// Whether a membership in effect at `index` or later has `identity` as voter.
    bool isVoterAtOrAfter(std::uint64_t index, const NodeIdentity &identity) const;

private:
    struct Entry
    {
        std::uint64_t index = 0;
        Wire::RaftMembership membership;
    };

    std::vector<Entry> entries_ {Entry {}};
};

} // namespace Consensus
