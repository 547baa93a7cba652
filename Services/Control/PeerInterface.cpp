#include "Services/Control/PeerInterface.h"

namespace Services {

namespace {

using Base::ErrorKind;

/// Answers a call with an encoded reply or an error.
template<typename Reply>
auto answerWith(const PeerInterface::ResponderPointer &responder)
{
    return [responder](const Base::Result<Reply> &result) {
        if (result)
            responder->reply(Wire::encode(*result));
        else
            responder->fail(result.error());
    };
}

} // namespace

void PeerInterface::handle(Wire::Method method, const Base::Bytes &payload, const ResponderPointer &responder)
{
    switch (method) {
    case Wire::Method::RaftMessage:
        return post(payload, responder, &PeerInterface::receiveRaft);
    case Wire::Method::RenewLease:
        return post(payload, responder, &PeerInterface::renewLease);
    case Wire::Method::FetchDocument:
        return post(payload, responder, &PeerInterface::fetchDocument);
    case Wire::Method::ClaimRequest:
        return post(payload, responder, &PeerInterface::claim);
    case Wire::Method::RecordOutcome:
        return post(payload, responder, &PeerInterface::recordOutcome);
    case Wire::Method::IntroduceNode:
        return post(payload, responder, &PeerInterface::introduce);
    default:
        responder->fail({ErrorKind::InvalidRequest, "a control process does not serve this call"});
    }
}

template<typename Message>
void PeerInterface::post(const Base::Bytes &payload, const ResponderPointer &responder,
                         void (PeerInterface::*operation)(const Message &, const ResponderPointer &))
{
    auto message = Wire::decode<Message>(payload);
    if (!message)
        return responder->fail(message.error());
    const bool posted = events_.post([this, operation, responder, message = std::move(*message)] {
        (this->*operation)(message, responder);
    });
    if (!posted)
        responder->fail({ErrorKind::ShuttingDown, {}});
}

void PeerInterface::receiveRaft(const Wire::RaftMessage &message, const ResponderPointer &responder)
{
    raft_.receive(clock_.now(), message);
    responder->reply({});
}

void PeerInterface::introduce(const Wire::IntroduceNodeRequest &request, const ResponderPointer &responder)
{
    addresses_.add(request.nodeId, request.incarnation, request.peerAddress);
    responder->reply(Wire::encode(identity_()));
}

void PeerInterface::renewLease(const Wire::RenewLeaseRequest &request, const ResponderPointer &responder)
{
    core_.renewLease(clock_.now(), request, answerWith<Wire::RenewLeaseReply>(responder));
}

void PeerInterface::fetchDocument(const Wire::FetchDocumentRequest &request,
                                  const ResponderPointer &responder)
{
    const auto *text = core_.state().findDocument(request.documentHash);
    if (text == nullptr)
        return responder->fail({ErrorKind::NotFound, "no document has this hash"});
    responder->reply(Wire::encode(Wire::FetchDocumentReply {*text}));
}

void PeerInterface::claim(const Wire::ClaimRequestMessage &request, const ResponderPointer &responder)
{
    core_.claim(clock_.now(), clock_.wallNow(), request, answerWith<Wire::ClaimRequestReply>(responder));
}

void PeerInterface::recordOutcome(const Wire::RecordOutcomeRequest &request,
                                  const ResponderPointer &responder)
{
    core_.recordOutcome(clock_.now(), request, answerWith<Wire::RecordOutcomeReply>(responder));
}

} // namespace Services
