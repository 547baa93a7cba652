#pragma once

#include "LibConsensus/StandardRaftNode.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace Consensus {

/// Returns the largest value that a majority of voters has reached. `own` is this node's value, `ofPeer`
/// reads that of another voter. A cluster without voters gives the default value.
template<typename Value, typename PeerValue>
Value StandardRaftNode::quorumValue(Value own, PeerValue peerValue) const
{
    std::vector<Value> values;
    for (const auto &member : memberships_.latest().members) {
        if (!member.voter)
            continue;
        const auto peer = peers_.find(identityOf(member));
        values.push_back(peer == peers_.end() ? own : peerValue(peer->second));
    }
    if (values.empty())
        return Value {};
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[values.size() / 2];
}

} // namespace Consensus
