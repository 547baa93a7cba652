#pragma once

#include "LibConsensus/RaftNode.h"
#include "LibControl/EventSink.h"
#include "LibWire/IntroduceMessages.h"

#include <functional>
#include <string>
#include <vector>

namespace Services {

/// Changes the set of control nodes for operators, and completes repairs by itself. Runs on the decision
/// thread.
class MembershipDesk
{
public:
    using Done = std::function<void(Base::Result<Wire::RaftMember>)>;
    using Identified = std::function<void(Base::Instant now, Base::Result<Wire::IntroduceNodeReply>)>;
    /// Asks the node at an address who it is.
    using Identify = std::function<void(const std::string &peerAddress, const Identified &)>;

    MembershipDesk(Consensus::RaftNode &raft, Control::EventSink onEvent, Identify identify)
        : raft_(raft)
        , onEvent_(std::move(onEvent))
        , identify_(std::move(identify))
    {
    }

    /// Adds the node at this address as a learner; answers when the change is committed.
    void add(Base::Instant now, const std::string &nodeId, const std::string &peerAddress, const Done &done);

    /// Removes an unheard member; answers when the change is committed.
    void remove(Base::Instant now, const std::string &nodeId, const Done &done);

    /// Answers what has been committed, and takes the next step of a repair.
    void tick(Base::Instant now);

    /// Answers all waiting operators with OutcomeUnknown.
    void abandon();

private:
    struct Waiting
    {
        std::uint64_t index = 0; ///< Log index of the change.
        Wire::RaftMember member;
        Done done;
    };

    void addIdentified(Base::Instant now, const Wire::RaftMember &member, bool holdsLog, const Done &done);
    void propose(Base::Instant now, const Wire::RaftMembership &membership, const Wire::RaftMember &member,
                 const Done &done);
    void takeRepairStep(Base::Instant now, const Consensus::RaftStatus &status);

    Consensus::RaftNode &raft_;
    Control::EventSink onEvent_;
    Identify identify_;
    std::vector<Waiting> waiting_;
    std::uint64_t term_ = 0; ///< Term in which this node leads; 0 while it does not.
};

} // namespace Services
