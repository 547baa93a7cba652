#pragma once

#include "LibBase/Clock.h"
#include "LibEdge/Loop.h"
#include "LibEdge/MessageParser.h"
#include "LibEdge/ReplyMemory.h"
#include "LibEdge/RequestMessage.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Edge {

/// How an exchange on a backend connection ended without a whole response.
enum class ExchangeFailure : std::uint8_t {
    NoConnection, ///< No connection within the timeout, so no byte of the request left this process.
    NotSent, ///< No byte of the request left this process.
    ReplyLost, ///< The connection ended after bytes were sent; the request may have run.
    PeerSilent, ///< The same, because the server acknowledged nothing for the timeout.
    ReplyMalformed, ///< The bytes received are no response, or belong to another request.
    ReplyTooLarge, ///< The response passed the limit of its request or of the process.
};

std::string_view exchangeFailureName(ExchangeFailure failure);

/// What a pool is told by one of its connections. Every send() is answered by exactly one of the first two,
/// unless the connection is aborted.
class BackendConnectionEvents
{
public:
    virtual ~BackendConnectionEvents() = default;
    /// Tells whether a response answers the request under way. One that does not is dropped: a server may
    /// send a second copy of an earlier answer where the next one is due.
    virtual bool answersRequest(const ResponseMessage &response) = 0;
    virtual void replyArrived(ResponseMessage response) = 0;
    virtual void exchangeFailed(ExchangeFailure failure, const std::string &detail) = 0;
    /// The connection ended while it was idle.
    virtual void idleConnectionEnded() = 0;
};

/// One client connection that carries one request at a time. After anything unexpected it carries no further
/// request, so that a stray response is never taken for the answer to a later one.
class BackendConnection
{
public:
    /// Starts connecting; a request may be sent at once and leaves when the connection is there. `memory`
    /// outlives the connection.
    BackendConnection(Loop &loop, const std::string &address, Base::Duration connectTimeout,
                      ReplyMemory &memory, BackendConnectionEvents &events);
    ~BackendConnection();
    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    /// Sends a formatted request; `body` follows it, and several connections may send the same one.
    void send(std::string request, const ReplyFraming &framing = {},
              std::shared_ptr<const std::string> body = nullptr);

    /// Ends the connection without further events.
    void abort();

    bool isOpen() const;
    /// False once the server announced that it closes, or its idle timeout is near.
    bool isReusable(Base::Instant now) const;
    /// True when nothing has arrived since the last response, neither bytes nor the end; asks the kernel, as
    /// the loop may not have come to it yet.
    bool isQuiet() const;
    Base::Instant idleSince() const;

private:
    class Implementation;
    boost::intrusive_ptr<Implementation> implementation_;
};

} // namespace Edge
