#pragma once

#include "LibBase/Error.h"
#include "LibConsensus/LogStore.h"
#include "LibPeer/Endpoint.h"
#include "LibWire/IntroduceMessages.h"
#include "Services/Control/ControlSettings.h"

#include <functional>
#include <vector>

namespace Services {

/// First start of a cluster. Identities contain random incarnations, so somebody must ask for them: the
/// member with the lowest node id collects them and writes the first log entry; the others receive it as
/// learners. Only one node may do this, because two first entries could name different incarnations of one
/// node.
class ClusterBootstrap
{
public:
    ClusterBootstrap(const ControlSettings &settings, const Consensus::LogStore &store)
        : settings_(settings)
        , store_(store)
    {
    }

    /// Returns the members for the first log entry, or nothing when this node is not to write it. Waits until
    /// every other member has answered or `shouldStop` returns true. Fails with SettingInvalid when a member
    /// belongs to a cluster already: this node has then lost its data and must join instead.
    Base::Result<std::vector<Wire::RaftMember>>
    findInitialMembers(const std::function<bool()> &shouldStop) const;

    /// What other control nodes are told about this one.
    static Wire::IntroduceNodeReply identity(const std::string &nodeId, const Consensus::LogStore &store);

private:
    bool isBootstrapNode() const;
    Base::Result<std::unique_ptr<Peer::Endpoint>> startEndpoint() const;
    Base::Result<Wire::IntroduceNodeReply> introduce(Peer::Endpoint &endpoint,
                                                     const std::string &peerAddress) const;
    Base::Result<void> identify(Peer::Endpoint &endpoint, Wire::RaftMember &member,
                                const std::function<bool()> &shouldStop) const;

    const ControlSettings &settings_;
    const Consensus::LogStore &store_;
};

} // namespace Services
