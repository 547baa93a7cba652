#pragma once

#include "LibPeer/Connection.h"
#include "LibPeer/Endpoint.h"
#include "LibPeer/StreamResponder.h"

#include <memory>
#include <unordered_map>

namespace Peer {

/// What a server connection needs from its loop.
struct ServerContext
{
    std::string sharedSecret;
    RequestHandler handler;
    std::shared_ptr<Mailbox> mailbox;
    /// Passes an answer to a connection that may be gone by then.
    std::function<void(std::uint64_t connection, std::int32_t stream, Base::Result<Base::Bytes>)> answer;
    bool shuttingDown = false; ///< New requests are refused.
};

/// A connection that a peer opened; serves its requests once the peer has proven the secret.
class ServerConnection final : public Connection
{
public:
    ServerConnection(FileDescriptor socket, std::uint64_t id, const ServerContext &context,
                     Base::Instant now);

    /// Sends the answer of a request; ignored when its stream is gone.
    void answer(std::int32_t stream, Base::Result<Base::Bytes> result);

    bool maintain(Base::Instant now) override;
    std::size_t openRequests() const override { return streams_.size(); }
    void close() override;

private:
    struct RequestStream
    {
        std::string path;
        Base::Bytes body;
        bool dispatched = false;
        std::shared_ptr<StreamResponder> responder;
    };

    void onStreamBegin(std::int32_t stream) override;
    void onHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
    void onData(std::int32_t stream, Base::ByteView data) override;
    void onStreamEnd(std::int32_t stream) override;
    void onStreamClosed(std::int32_t stream, std::uint32_t errorCode) override;

    void dispatch(std::int32_t stream, RequestStream &request, Base::Bytes body);
    void challenge(std::int32_t stream);
    void checkProof(std::int32_t stream, std::string_view text);
    void sendError(std::int32_t stream, const Base::Error &error);
    void sendPayload(std::int32_t stream, Base::Bytes payload);

    std::uint64_t id_;
    const ServerContext &context_;
    Base::Instant acceptedAt_;
    std::string nonce_;
    bool authenticated_ = false;
    std::size_t bufferedBytes_ = 0;
    std::unordered_map<std::int32_t, RequestStream> streams_;
};

} // namespace Peer
