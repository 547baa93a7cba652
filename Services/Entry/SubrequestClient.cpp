#include "Services/Entry/SubrequestClient.h"

namespace Services {

using Base::ErrorKind;

namespace {

using Reply = Base::Result<Wire::ExecuteSubrequestReply>;

/// Errors by which the owner's process refused the call before its owner core saw it.
bool isRefusal(ErrorKind kind)
{
    return kind == ErrorKind::Unauthorized || kind == ErrorKind::ShuttingDown || kind == ErrorKind::NotFound
           || kind == ErrorKind::RequestTooLarge;
}

Reply decodeReply(const std::string &attemptId, const Base::Result<Base::Bytes> &result)
{
    if (!result && isRefusal(result.error().kind))
        return Base::fail(ErrorKind::PeerUnreachable, result.error().detail);
    if (!result)
        return tl::unexpected(result.error());
    auto reply = Wire::decode<Wire::ExecuteSubrequestReply>(*result);
    if (reply && reply->attemptId != attemptId)
        return Base::fail(ErrorKind::MalformedMessage, "reply names another attempt");
    return reply;
}

} // namespace

SubrequestClient::SubrequestClient(Peer::Endpoint &endpoint, EventQueue &events, Replied replied)
    : endpoint_(endpoint)
    , events_(events)
    , replied_(std::move(replied))
{
}

void SubrequestClient::send(const Query::SendSubrequest &action)
{
    const auto &attemptId = action.request.attemptId;
    auto done = [this, attemptId](const Base::Result<Base::Bytes> &result) {
        // Decoded on the endpoint's thread, to keep large bodies off the decision thread.
        events_.post([this, attemptId, reply = decodeReply(attemptId, result)]() mutable {
            calls_.erase(attemptId);
            replied_(attemptId, std::move(reply));
        });
    };
    calls_[attemptId] = endpoint_.call(action.peerAddress, Wire::Method::ExecuteSubrequest,
                                       Wire::encode(action.request), action.timeout, std::move(done));
}

void SubrequestClient::cancel(const std::string &attemptId)
{
    const auto found = calls_.find(attemptId);
    if (found != calls_.end())
        endpoint_.cancel(found->second);
}

} // namespace Services
