#pragma once

#include "LibPeer/CallTable.h"
#include "LibPeer/Connection.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Peer {

/// A connection that this process opened; carries outgoing calls once both sides have proven the secret.
class ClientConnection final : public Connection
{
public:
    ClientConnection(FileDescriptor socket, std::string address, std::string secret, CallTable &calls,
                     Base::Instant now, Base::Duration connectTimeout);

    /// Carries the call as soon as the connection is authenticated.
    void start(CallId id);

    /// Resets the stream of a call or forgets it when it was not submitted yet.
    void abandon(CallId id);

    bool receive(Base::Instant now) override;
    bool flush() override;
    bool maintain(Base::Instant now) override;
    std::size_t openRequests() const override { return streamsOfCalls_.size() + waiting_.size(); }
    void close() override;

    /// Ends an attempt whose opening packet may have been lost, because the peer's VM is known to be up.
    void endOutdatedAttempt() { fail("the peer is reachable again; the next call connects anew"); }

    const std::string &address() const { return address_; }
    bool isReady() const { return state_ == State::Ready; }
    bool isConnecting() const { return state_ == State::Connecting; }
    Base::Instant startedAt() const { return startedAt_; }

private:
    enum class State { Connecting, Challenge, Proof, Ready };

    struct ReplyStream
    {
        CallId call = 0; ///< 0 for the streams of the authentication.
        int status = 0;
        std::string errorName;
        Base::Bytes body;
        bool ended = false;
        bool tooLarge = false;
    };

    void onHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
    void onData(std::int32_t stream, Base::ByteView data) override;
    void onStreamEnd(std::int32_t stream) override;
    void onStreamClosed(std::int32_t stream, std::uint32_t errorCode) override;
    void onHeadersLeaving(std::int32_t stream) override;

    bool finishConnecting();
    void submit(CallId id);
    void onAuthenticationReply(const ReplyStream &reply);
    void onChallenge(const ReplyStream &reply);
    void onProof(const ReplyStream &reply);
    void failUnauthorized(const std::string &reason);

    std::string address_;
    std::string secret_;
    CallTable &calls_;
    State state_ = State::Connecting;
    Base::Duration connectTimeout_;
    Base::Instant startedAt_;
    Base::Instant lastUsed_;
    std::string serverNonce_;
    std::string clientNonce_;
    bool unauthorized_ = false;
    std::size_t bufferedBytes_ = 0;
    std::vector<CallId> waiting_;
    std::unordered_map<std::int32_t, ReplyStream> streams_;
    std::unordered_map<CallId, std::int32_t> streamsOfCalls_;
};

} // namespace Peer
