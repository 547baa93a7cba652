#pragma once

#include "LibWire/RaftMessages.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Consensus {

/// A node together with the incarnation of its data directory. Votes and acknowledgements count only under
/// the full identity, because a node whose directory was emptied has lost its votes and log.
struct NodeIdentity
{
    std::string nodeId;
    std::uint64_t incarnation = 0;

    auto operator<=>(const NodeIdentity &) const = default; // NOLINT(modernize-use-nullptr): false positive.
};

inline NodeIdentity identityOf(const Wire::RaftMember &member)
{
    return {member.nodeId, member.incarnation};
}

} // namespace Consensus
