#pragma once

#include "LibBase/Clock.h"
#include "LibConsensus/RaftNode.h"
#include "LibControl/ControlCore.h"
#include "LibPeer/Responder.h"
#include "LibWire/IntroduceMessages.h"
#include "LibWire/Method.h"
#include "Services/Control/AddressBook.h"
#include "Services/Control/ControlEventQueue.h"

#include <functional>
#include <memory>

namespace Services {

/// Serves the calls of entry processes and other control processes. handle() runs on the endpoint's thread;
/// everything that touches the decision logic runs as an event on the decision thread.
class PeerInterface
{
public:
    using ResponderPointer = std::shared_ptr<Peer::Responder>;

    /// `identity` is what other control nodes are told about this one.
    PeerInterface(const Base::Clock &clock, ControlEventQueue &events, Control::ControlCore &core,
                  Consensus::RaftNode &raft, AddressBook &addresses,
                  std::function<Wire::IntroduceNodeReply()> identity)
        : clock_(clock)
        , events_(events)
        , addresses_(addresses)
        , identity_(std::move(identity))
        , core_(core)
        , raft_(raft)
    {
    }

    /// Decodes one call and posts it; malformed and unexpected calls fail at once.
    void handle(Wire::Method method, const Base::Bytes &payload, const ResponderPointer &responder);

private:
    template<typename Message>
    void post(const Base::Bytes &payload, const ResponderPointer &responder,
              void (PeerInterface::*operation)(const Message &, const ResponderPointer &));

    void receiveRaft(const Wire::RaftMessage &message, const ResponderPointer &responder);
    void introduce(const Wire::IntroduceNodeRequest &request, const ResponderPointer &responder);
    void renewLease(const Wire::RenewLeaseRequest &request, const ResponderPointer &responder);
    void fetchDocument(const Wire::FetchDocumentRequest &request, const ResponderPointer &responder);
    void claim(const Wire::ClaimRequestMessage &request, const ResponderPointer &responder);
    void recordOutcome(const Wire::RecordOutcomeRequest &request, const ResponderPointer &responder);

    const Base::Clock &clock_;
    ControlEventQueue &events_;
    AddressBook &addresses_;
    std::function<Wire::IntroduceNodeReply()> identity_;
    Control::ControlCore &core_;
    Consensus::RaftNode &raft_;
};

} // namespace Services
