#pragma once

#include "LibBase/Clock.h"
#include "LibConsensus/FileLogStore.h"
#include "LibConsensus/RaftNode.h"
#include "LibControl/ControlCore.h"
#include "LibControl/RaftWatch.h"
#include "LibHttp/Server.h"
#include "LibPeer/Endpoint.h"
#include "Services/Control/AddressBook.h"
#include "Services/Control/ControlEventQueue.h"
#include "Services/Control/ControlMetrics.h"
#include "Services/Control/ControlSettings.h"
#include "Services/Control/MembershipDesk.h"
#include "Services/Control/OperatorInterface.h"
#include "Services/Control/PeerInterface.h"

#include <functional>
#include <memory>

namespace Services {

/// One control process: the decision logic on the calling thread, fed by the threads of the transports.
class ControlProcess
{
public:
    /// Opens the data directory and starts the transports. The first start of a cluster waits here for all
    /// its members, until `shouldStop` returns true.
    static Base::Result<std::unique_ptr<ControlProcess>> create(const ControlSettings &settings,
                                                                const std::function<bool()> &shouldStop);
    ~ControlProcess();
    ControlProcess(const ControlProcess &) = delete;
    ControlProcess &operator=(const ControlProcess &) = delete;

    /// Runs until `shouldStop` returns true or an error makes it impossible to go on, then answers all
    /// requests in flight.
    Base::Result<void> run(const std::function<bool()> &shouldStop);

private:
    ControlProcess(const ControlSettings &settings, std::unique_ptr<Consensus::FileLogStore> store,
                   std::unique_ptr<Consensus::RaftNode> raft);

    Base::Result<void> startTransports();
    Base::Result<void> runUntilStopped(const std::function<bool()> &shouldStop);
    Base::Result<void> runOnce();
    Base::Result<void> step();
    Base::Result<void> compactIfDue();
    void send(const std::vector<Wire::RaftMessage> &messages);
    void introduceToNewMembers(const Consensus::RaftStatus &status);
    Base::Bytes introduction() const;
    void identify(const std::string &peerAddress, const MembershipDesk::Identified &done);
    void stop();

    ControlSettings settings_;
    Base::SystemClock clock_;
    ControlEventQueue events_;
    std::unique_ptr<Consensus::FileLogStore> store_;
    std::unique_ptr<Consensus::RaftNode> raft_;
    Control::ControlCore core_;
    Control::RaftWatch watch_;
    AddressBook addresses_;
    MembershipDesk membership_;
    OperatorInterface operators_;
    PeerInterface peers_;
    ControlMetrics metrics_;
    Base::Instant nextTick_;
    Base::Instant nextIntroduction_;
    std::uint64_t compactedIndex_ = 0;
    // The transports come last, so that their threads end before what they use.
    std::unique_ptr<Peer::Endpoint> endpoint_;
    std::unique_ptr<Http::Server> httpServer_;
};

} // namespace Services
