#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Time.h"
#include "LibPeer/FileDescriptor.h"
#include "LibPeer/TrafficCounters.h"

#include <cstdint>
#include <map>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <vector>

namespace Peer {

/// One TCP connection with an HTTP/2 session; the common part of both roles. Used on the loop thread only.
class Connection
{
public:
    enum class Role { Client, Server };

    Connection(FileDescriptor socket, Role role, Base::Instant now);
    virtual ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int descriptor() const { return socket_.get(); }

    /// Adds the bytes on the socket to `counters`, which must outlive the connection.
    void countTraffic(TrafficCounters &counters) { traffic_ = &counters; }

    /// Reads what has arrived; returns false when the connection is finished.
    virtual bool receive(Base::Instant now);

    /// Writes what the session has to send; returns false when the connection is finished.
    virtual bool flush();

    /// Tells whether the socket took less than the session has to send.
    bool wantsWritable() const { return writeBlocked_; }

    /// Checks time limits and sends a PING when due; returns false when the connection is finished.
    virtual bool maintain(Base::Instant now);

    /// Number of unfinished requests in either direction.
    virtual std::size_t openRequests() const = 0;

    /// Ends all unfinished requests after the connection finished.
    virtual void close() = 0;

    /// Why the connection finished, for error details.
    const std::string &failure() const { return failure_; }

protected:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    virtual void onHeader(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void onData(std::int32_t stream, Base::ByteView data) = 0;
    virtual void onStreamEnd(std::int32_t stream) = 0;
    virtual void onStreamClosed(std::int32_t stream, std::uint32_t errorCode) = 0;
    virtual void onStreamBegin(std::int32_t /*stream*/) { }
    /// Runs before the first byte of a stream is handed to the socket.
    virtual void onHeadersLeaving(std::int32_t /*stream*/) { }

    /// Submits a request and returns its stream, or a negative number.
    std::int32_t submitRequest(std::string_view path, Base::Bytes body);
    void submitResponse(std::int32_t stream, const Headers &headers, Base::Bytes body);
    void resetStream(std::int32_t stream, std::uint32_t errorCode);
    void submitMaxStreams(std::uint32_t count);

    bool fail(std::string reason);
    bool hasFailed() const { return !failure_.empty(); }
    Base::Instant lastReceived() const { return lastReceived_; }
    void markReceived(Base::Instant now) { lastReceived_ = now; }

private:
    struct OutgoingBody
    {
        Base::Bytes data;
        std::size_t offset = 0;
    };

    static ssize_t readBody(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer, std::size_t length,
                            std::uint32_t *flags, nghttp2_data_source *, void *self);
    static int beginHeadersCallback(nghttp2_session *, const nghttp2_frame *frame, void *self);
    static int headerCallback(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                              std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                              std::uint8_t flags, void *self);
    static int dataCallback(nghttp2_session *, std::uint8_t flags, std::int32_t stream,
                            const std::uint8_t *data, std::size_t length, void *self);
    static int frameReceivedCallback(nghttp2_session *, const nghttp2_frame *frame, void *self);
    static int beforeFrameSentCallback(nghttp2_session *, const nghttp2_frame *frame, void *self);
    static int streamClosedCallback(nghttp2_session *, std::int32_t stream, std::uint32_t errorCode,
                                    void *self);

    void createSession(Role role);
    void submitSettings(Role role);
    bool fillOutput();

    FileDescriptor socket_;
    nghttp2_session *session_ = nullptr;
    TrafficCounters *traffic_ = nullptr;
    std::map<std::int32_t, OutgoingBody> outgoing_;
    Base::Bytes output_;
    std::size_t outputOffset_ = 0;
    bool writeBlocked_ = false;
    Base::Instant lastReceived_;
    Base::Instant lastPing_;
    std::string failure_;
};

} // namespace Peer
