#include "LibPeer/ClientConnection.h"

#include "LibBase/Digest.h"
#include "LibPeer/Authentication.h"
#include "LibPeer/ErrorName.h"
#include "LibPeer/Limits.h"

#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <sys/socket.h>

namespace Peer {

namespace {

constexpr int StatusOk = 200;

} // namespace

ClientConnection::ClientConnection(FileDescriptor socket, std::string address, std::string secret,
                                   CallTable &calls, Base::Instant now, Base::Duration connectTimeout)
    : Connection(std::move(socket), Role::Client, now)
    , address_(std::move(address))
    , secret_(std::move(secret))
    , calls_(calls)
    , connectTimeout_(connectTimeout)
    , startedAt_(now)
    , lastUsed_(now)
{
}

void ClientConnection::start(CallId id)
{
    if (state_ == State::Ready)
        submit(id);
    else
        waiting_.push_back(id);
}

void ClientConnection::submit(CallId id)
{
    auto *call = calls_.find(id);
    if (call == nullptr)
        return;
    const auto path = fmt::format("/peer/{}", Wire::methodName(call->method));
    const auto stream = submitRequest(path, std::move(call->payload));
    if (stream < 0) {
        calls_.completeAsLost(id, "no stream left on the connection");
        return;
    }
    streams_[stream].call = id;
    streamsOfCalls_[id] = stream;
}

void ClientConnection::abandon(CallId id)
{
    std::erase(waiting_, id);
    const auto found = streamsOfCalls_.find(id);
    if (found != streamsOfCalls_.end())
        resetStream(found->second, NGHTTP2_CANCEL);
}

bool ClientConnection::finishConnecting()
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(descriptor(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
        return fail(std::strerror(error)); // NOLINT: glibc's strerror is thread-safe for known codes.
    sockaddr_storage peer {};
    length = sizeof(peer);
    if (getpeername(descriptor(), reinterpret_cast<sockaddr *>(&peer), &length) != 0)
        return true; // Still connecting.
    state_ = State::Challenge;
    submitRequest(ChallengePath, {});
    return true;
}

bool ClientConnection::receive(Base::Instant now)
{
    if (state_ == State::Connecting && !finishConnecting())
        return false;
    return state_ == State::Connecting || Connection::receive(now);
}

bool ClientConnection::flush()
{
    if (state_ == State::Connecting && !finishConnecting())
        return false;
    return state_ == State::Connecting || Connection::flush();
}

bool ClientConnection::maintain(Base::Instant now)
{
    if (state_ != State::Ready) {
        if (now - startedAt_ > (state_ == State::Connecting ? connectTimeout_ : HandshakeTimeout))
            return fail("connecting took too long");
        return true;
    }
    if (openRequests() > 0)
        lastUsed_ = now;
    if (now - lastUsed_ > IdleTimeout)
        return fail("connection is idle");
    return Connection::maintain(now);
}

void ClientConnection::close()
{
    std::vector<CallId> open = std::exchange(waiting_, {});
    for (const auto &[id, stream] : streamsOfCalls_)
        open.push_back(id);
    streamsOfCalls_.clear();
    streams_.clear();
    const auto reason = fmt::format("{}: {}", address_, failure());
    for (const auto id : open) {
        if (unauthorized_)
            calls_.complete(id, Base::fail(Base::ErrorKind::Unauthorized, reason));
        else
            calls_.completeAsLost(id, reason);
    }
}

void ClientConnection::onHeader(std::int32_t stream, std::string_view name, std::string_view value)
{
    auto &reply = streams_[stream];
    if (name == ":status")
        std::from_chars(value.data(), value.data() + value.size(), reply.status);
    else if (name == ErrorHeader)
        reply.errorName = value;
}

void ClientConnection::onData(std::int32_t stream, Base::ByteView data)
{
    auto &reply = streams_[stream];
    if (reply.tooLarge)
        return;
    if (reply.body.size() + data.size() > MaxPayloadBytes
        || bufferedBytes_ + data.size() > MaxBufferedBytes) {
        reply.tooLarge = true;
        resetStream(stream, NGHTTP2_CANCEL);
        return;
    }
    bufferedBytes_ += data.size();
    reply.body.insert(reply.body.end(), data.begin(), data.end());
}

void ClientConnection::onStreamEnd(std::int32_t stream)
{
    streams_[stream].ended = true;
}

void ClientConnection::onHeadersLeaving(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    if (auto *call = calls_.find(found->second.call); call != nullptr)
        call->sent = true;
}

void ClientConnection::onStreamClosed(std::int32_t stream, std::uint32_t errorCode)
{
    const auto node = streams_.extract(stream);
    if (node.empty())
        return;
    auto reply = std::move(node.mapped());
    bufferedBytes_ -= reply.body.size();
    if (reply.call == 0) {
        onAuthenticationReply(reply);
        return;
    }
    streamsOfCalls_.erase(reply.call);
    if (reply.tooLarge)
        calls_.complete(reply.call, Base::fail(Base::ErrorKind::MalformedMessage, "reply is too large"));
    else if (errorCode == NGHTTP2_REFUSED_STREAM)
        calls_.complete(reply.call, Base::fail(Base::ErrorKind::PeerUnreachable, "peer refused the stream"));
    else if (errorCode != NGHTTP2_NO_ERROR || !reply.ended)
        calls_.completeAsLost(reply.call, fmt::format("{}: peer reset the stream", address_));
    else if (reply.status == StatusOk)
        calls_.complete(reply.call, std::move(reply.body));
    else
        calls_.complete(reply.call, Base::fail(errorKindFromName(reply.errorName),
                                               std::string(Base::asText(reply.body))));
}

void ClientConnection::onAuthenticationReply(const ReplyStream &reply)
{
    if (state_ == State::Challenge)
        onChallenge(reply);
    else if (state_ == State::Proof)
        onProof(reply);
}

void ClientConnection::onChallenge(const ReplyStream &reply)
{
    serverNonce_ = Base::asText(reply.body);
    if (reply.status != StatusOk || serverNonce_.size() != NonceLength) {
        fail("peer sent no challenge");
        return;
    }
    clientNonce_ = makeNonce();
    state_ = State::Proof;
    submitRequest(ProofPath, Base::toBytes(clientNonce_ + clientProof(secret_, serverNonce_, clientNonce_)));
}

void ClientConnection::onProof(const ReplyStream &reply)
{
    if (reply.status != StatusOk) {
        failUnauthorized("peer refused the shared secret");
        return;
    }
    // The server proves the secret too, so that a process on a reused address cannot take over calls.
    const auto expected = serverProof(secret_, serverNonce_, clientNonce_);
    if (!Base::constantTimeEquals(Base::asText(reply.body), expected)) {
        failUnauthorized("peer does not know the shared secret");
        return;
    }
    state_ = State::Ready;
    for (const auto id : std::exchange(waiting_, {}))
        submit(id);
}

void ClientConnection::failUnauthorized(const std::string &reason)
{
    unauthorized_ = true;
    fail(reason);
}

} // namespace Peer
