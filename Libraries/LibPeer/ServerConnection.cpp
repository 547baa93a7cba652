#include "LibPeer/ServerConnection.h"

#include "LibBase/Digest.h"
#include "LibBase/Log.h"
#include "LibPeer/Authentication.h"
#include "LibPeer/ErrorName.h"
#include "LibPeer/Limits.h"

#include <exception>
#include <fmt/format.h>

namespace Peer {

namespace {

constexpr Base::Log Log("peer");

constexpr std::string_view CallPrefix = "/peer/";

/// Longest path that is kept; every valid path is shorter.
constexpr std::size_t MaxPathLength = 64;

/// An unauthenticated peer sends one nonce and one proof.
constexpr std::size_t MaxUnauthenticatedBody = 2 * NonceLength;

} // namespace

ServerConnection::ServerConnection(FileDescriptor socket, std::uint64_t id, const ServerContext &context,
                                   Base::Instant now)
    : Connection(std::move(socket), Role::Server, now)
    , id_(id)
    , context_(context)
    , acceptedAt_(now)
{
}

bool ServerConnection::maintain(Base::Instant now)
{
    if (!authenticated_ && now - acceptedAt_ > HandshakeTimeout)
        return fail("peer did not authenticate in time");
    return Connection::maintain(now);
}

void ServerConnection::close()
{
    for (auto &[stream, request] : std::exchange(streams_, {})) {
        if (request.responder)
            request.responder->markCancelled();
    }
}

void ServerConnection::onStreamBegin(std::int32_t stream)
{
    streams_.try_emplace(stream);
}

void ServerConnection::onHeader(std::int32_t stream, std::string_view name, std::string_view value)
{
    const auto found = streams_.find(stream);
    if (found != streams_.end() && name == ":path")
        found->second.path = value.substr(0, MaxPathLength);
}

void ServerConnection::onData(std::int32_t stream, Base::ByteView data)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.dispatched)
        return;
    auto &request = found->second;
    const auto limit = authenticated_ ? MaxPayloadBytes : MaxUnauthenticatedBody;
    if (request.body.size() + data.size() > limit || bufferedBytes_ + data.size() > MaxBufferedBytes) {
        request.dispatched = true;
        bufferedBytes_ -= request.body.size();
        request.body = {};
        sendError(stream, {Base::ErrorKind::RequestTooLarge, "payload exceeds the limit of the connection"});
        return;
    }
    bufferedBytes_ += data.size();
    request.body.insert(request.body.end(), data.begin(), data.end());
}

void ServerConnection::onStreamEnd(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.dispatched)
        return;
    auto &request = found->second;
    request.dispatched = true;
    auto body = std::exchange(request.body, {});
    bufferedBytes_ -= body.size();
    if (request.path == ChallengePath)
        challenge(stream);
    else if (request.path == ProofPath)
        checkProof(stream, Base::asText(body));
    else if (!authenticated_)
        sendError(stream, {Base::ErrorKind::Unauthorized, "connection is not authenticated"});
    else
        dispatch(stream, request, std::move(body));
}

void ServerConnection::dispatch(std::int32_t stream, RequestStream &request, Base::Bytes body)
{
    if (context_.shuttingDown) {
        sendError(stream, {Base::ErrorKind::ShuttingDown, "process is shutting down"});
        return;
    }
    const std::string_view path = request.path;
    const auto method =
        path.starts_with(CallPrefix) ? Wire::methodFromName(path.substr(CallPrefix.size())) : std::nullopt;
    if (!method) {
        sendError(stream, {Base::ErrorKind::NotFound, fmt::format("no method at path '{}'", path)});
        return;
    }
    auto sink = [answer = context_.answer, id = id_, stream](Base::Result<Base::Bytes> result) {
        answer(id, stream, std::move(result));
    };
    request.responder = std::make_shared<StreamResponder>(context_.mailbox, std::move(sink));
    try {
        context_.handler(*method, std::move(body), request.responder);
    } catch (const std::exception &exception) {
        Log.error("A call's handler failed.", {{"path", path}, {"reason", exception.what()}});
        sendError(stream, {Base::ErrorKind::Internal, "the handler failed"});
    }
}

void ServerConnection::challenge(std::int32_t stream)
{
    if (!nonce_.empty()) {
        sendError(stream, {Base::ErrorKind::Unauthorized, "one challenge per connection"});
        return;
    }
    nonce_ = makeNonce();
    sendPayload(stream, Base::toBytes(nonce_));
}

void ServerConnection::checkProof(std::int32_t stream, std::string_view text)
{
    const auto clientNonce = text.substr(0, NonceLength);
    const auto proof = text.substr(clientNonce.size());
    const auto expected = clientProof(context_.sharedSecret, nonce_, clientNonce);
    if (nonce_.empty() || authenticated_ || !Base::constantTimeEquals(proof, expected)) {
        // A second try needs a new connection and a new nonce.
        nonce_ = makeNonce();
        sendError(stream, {Base::ErrorKind::Unauthorized, "wrong shared secret"});
        return;
    }
    authenticated_ = true;
    submitMaxStreams(MaxStreams);
    sendPayload(stream, Base::toBytes(serverProof(context_.sharedSecret, nonce_, clientNonce)));
}

void ServerConnection::answer(std::int32_t stream, Base::Result<Base::Bytes> result)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    if (result && result->size() > MaxPayloadBytes)
        sendError(stream, {Base::ErrorKind::Internal, "reply exceeds the size limit"});
    else if (result)
        sendPayload(stream, std::move(*result));
    else
        sendError(stream, result.error());
}

void ServerConnection::sendError(std::int32_t stream, const Base::Error &error)
{
    const auto &answer = Base::errorAnswer(error.kind);
    const Headers headers {
        {":status", std::to_string(answer.httpStatus)},
        {std::string(ErrorHeader), std::string(answer.name)},
    };
    submitResponse(stream, headers, Base::toBytes(error.detail));
}

void ServerConnection::sendPayload(std::int32_t stream, Base::Bytes payload)
{
    submitResponse(stream, {{":status", "200"}}, std::move(payload));
}

void ServerConnection::onStreamClosed(std::int32_t stream, std::uint32_t /*errorCode*/)
{
    const auto node = streams_.extract(stream);
    if (node.empty())
        return;
    const auto &request = node.mapped();
    bufferedBytes_ -= request.body.size();
    if (request.responder)
        request.responder->markCancelled();
}

} // namespace Peer
