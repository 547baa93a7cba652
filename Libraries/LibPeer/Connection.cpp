#include "LibPeer/Connection.h"

#include "LibPeer/Limits.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <sys/socket.h>

namespace Peer {

namespace {

constexpr std::size_t ReadChunkBytes = std::size_t {64} * 1024;
constexpr std::size_t OutputChunkBytes = std::size_t {64} * 1024;

/// Reads per wake-up, so that one busy connection does not hold up the others.
constexpr int MaxReadsPerWakeUp = 16;

nghttp2_nv makeHeader(std::string_view name, std::string_view value)
{
    // nghttp2 copies names and values because no NO_COPY flag is set; its parameters are not const.
    auto *nameData = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    auto *valueData = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return {nameData, valueData, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

Connection::Connection(FileDescriptor socket, Role role, Base::Instant now)
    : socket_(std::move(socket))
    , lastReceived_(now)
    , lastPing_(now)
{
    createSession(role);
    submitSettings(role);
}

Connection::~Connection()
{
    nghttp2_session_del(session_);
}

void Connection::createSession(Role role)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &beginHeadersCallback);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &headerCallback);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &dataCallback);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &frameReceivedCallback);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, &beforeFrameSentCallback);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &streamClosedCallback);
    if (role == Role::Client)
        nghttp2_session_client_new(&session_, callbacks, this);
    else
        nghttp2_session_server_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

void Connection::submitSettings(Role role)
{
    const auto streams = role == Role::Server ? MaxUnauthenticatedStreams : 0;
    const std::array<nghttp2_settings_entry, 3> settings {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    const std::size_t count = role == Role::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
}

void Connection::submitMaxStreams(std::uint32_t count)
{
    const nghttp2_settings_entry entry {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, count};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, &entry, 1);
}

bool Connection::fail(std::string reason)
{
    if (failure_.empty())
        failure_ = std::move(reason);
    return false;
}

bool Connection::receive(Base::Instant now)
{
    std::array<std::uint8_t, ReadChunkBytes> chunk; // NOLINT: filled by recv().
    for (int reads = 0; reads < MaxReadsPerWakeUp; ++reads) {
        const auto count = ::recv(socket_.get(), chunk.data(), chunk.size(), 0);
        if (count == 0)
            return fail("peer closed the connection");
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (count < 0)
            return fail(std::strerror(errno)); // NOLINT: glibc's strerror is thread-safe for known codes.
        lastReceived_ = now;
        if (traffic_ != nullptr)
            traffic_->countSocketBytesReceived(static_cast<std::size_t>(count));
        const auto used = nghttp2_session_mem_recv(session_, chunk.data(), static_cast<std::size_t>(count));
        if (used < 0)
            return fail(nghttp2_strerror(static_cast<int>(used)));
        if (hasFailed())
            return false;
        if (static_cast<std::size_t>(count) < chunk.size())
            break;
    }
    return true;
}

bool Connection::flush()
{
    writeBlocked_ = false;
    while (true) {
        if (outputOffset_ == output_.size() && !fillOutput())
            return false;
        if (output_.empty())
            break;
        const auto count = ::send(socket_.get(), output_.data() + outputOffset_,
                                  output_.size() - outputOffset_, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            writeBlocked_ = true;
            return true;
        }
        if (count < 0)
            return fail(std::strerror(errno)); // NOLINT: glibc's strerror is thread-safe for known codes.
        outputOffset_ += static_cast<std::size_t>(count);
        if (traffic_ != nullptr)
            traffic_->countSocketBytesSent(static_cast<std::size_t>(count));
    }
    if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0)
        return fail("session ended");
    return !hasFailed();
}

bool Connection::fillOutput()
{
    output_.clear();
    outputOffset_ = 0;
    while (output_.size() < OutputChunkBytes) {
        const std::uint8_t *data = nullptr;
        const auto count = nghttp2_session_mem_send(session_, &data);
        if (count < 0)
            return fail(nghttp2_strerror(static_cast<int>(count)));
        if (count == 0)
            break;
        output_.insert(output_.end(), data, data + count);
    }
    return true;
}

bool Connection::maintain(Base::Instant now)
{
    if (now - lastReceived_ > SilenceTimeout)
        return fail("peer is silent");
    if (now - lastReceived_ > PingInterval && now - lastPing_ > PingInterval) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        lastPing_ = now;
    }
    return true;
}

std::int32_t Connection::submitRequest(std::string_view path, Base::Bytes body)
{
    const std::array<nghttp2_nv, 4> headers {
        makeHeader(":method", "POST"),
        makeHeader(":scheme", "http"),
        makeHeader(":authority", "peer"),
        makeHeader(":path", path),
    };
    const nghttp2_data_provider provider {{.ptr = nullptr}, &readBody};
    const auto stream =
        nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream >= 0)
        outgoing_[stream] = {std::move(body), 0};
    return stream;
}

void Connection::submitResponse(std::int32_t stream, const Headers &headers, Base::Bytes body)
{
    std::vector<nghttp2_nv> values;
    values.reserve(headers.size());
    for (const auto &[name, value] : headers)
        values.push_back(makeHeader(name, value));
    outgoing_[stream] = {std::move(body), 0};
    const nghttp2_data_provider provider {{.ptr = nullptr}, &readBody};
    if (nghttp2_submit_response(session_, stream, values.data(), values.size(), &provider) != 0)
        resetStream(stream, NGHTTP2_INTERNAL_ERROR);
}

void Connection::resetStream(std::int32_t stream, std::uint32_t errorCode)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, errorCode);
}

ssize_t Connection::readBody(nghttp2_session * /*session*/, std::int32_t stream, std::uint8_t *buffer,
                             std::size_t length, std::uint32_t *flags, nghttp2_data_source * /*source*/,
                             void *self)
{
    auto &bodies = static_cast<Connection *>(self)->outgoing_;
    const auto found = bodies.find(stream);
    if (found == bodies.end())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto &body = found->second;
    const auto count = std::min(length, body.data.size() - body.offset);
    if (count > 0)
        std::memcpy(buffer, body.data.data() + body.offset, count);
    body.offset += count;
    if (body.offset == body.data.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

int Connection::beginHeadersCallback(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *self)
{
    if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        static_cast<Connection *>(self)->onStreamBegin(frame->hd.stream_id);
    return 0;
}

int Connection::headerCallback(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                               const std::uint8_t *name, std::size_t nameLength, const std::uint8_t *value,
                               std::size_t valueLength, std::uint8_t /*flags*/, void *self)
{
    static_cast<Connection *>(self)->onHeader(frame->hd.stream_id, Base::asText({name, nameLength}),
                                              Base::asText({value, valueLength}));
    return 0;
}

int Connection::dataCallback(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                             const std::uint8_t *data, std::size_t length, void *self)
{
    static_cast<Connection *>(self)->onData(stream, {data, length});
    return 0;
}

int Connection::frameReceivedCallback(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *self)
{
    const auto type = frame->hd.type;
    const bool carriesMessage = type == NGHTTP2_HEADERS || type == NGHTTP2_DATA;
    if (carriesMessage && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        static_cast<Connection *>(self)->onStreamEnd(frame->hd.stream_id);
    return 0;
}

int Connection::beforeFrameSentCallback(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *self)
{
    if (frame->hd.type == NGHTTP2_HEADERS)
        static_cast<Connection *>(self)->onHeadersLeaving(frame->hd.stream_id);
    return 0;
}

int Connection::streamClosedCallback(nghttp2_session * /*session*/, std::int32_t stream,
                                     std::uint32_t errorCode, void *self)
{
    auto *connection = static_cast<Connection *>(self);
    connection->outgoing_.erase(stream);
    connection->onStreamClosed(stream, errorCode);
    return 0;
}

} // namespace Peer
