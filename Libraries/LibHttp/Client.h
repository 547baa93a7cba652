#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/Message.h"

#include <memory>
#include <string_view>

namespace Http {

/// How far a failed exchange got; decides whether a request may be said to be not run.
enum class SendState {
    NotSent, ///< No byte of the request left this process.
    Sent ///< The server may have received it.
};

struct ExchangeError
{
    Base::Error error; ///< BackendUnreachable when not sent, BackendReplyLost when sent.
    SendState sendState = SendState::NotSent;
};

/// One keep-alive connection to one HTTP/1.1 server. Not thread-safe; an exchange blocks its thread.
class Client
{
public:
    /// Connects at once; fails with BackendUnreachable. `address` is ip:port.
    static Base::Result<std::unique_ptr<Client>> connect(std::string_view address, Base::Duration timeout);
    virtual ~Client() = default;

    /// Sends one request and reads the whole response. After an error the connection is not usable any more.
    virtual tl::expected<Response, ExchangeError> exchange(const Request &request,
                                                           Base::Duration timeout) = 0;

    /// Tells whether another exchange may be tried on this connection.
    virtual bool isUsable() const = 0;
};

} // namespace Http
