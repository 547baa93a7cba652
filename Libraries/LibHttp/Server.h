#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/Message.h"

#include <functional>
#include <memory>
#include <string>

namespace Http {

/// Runs on one of the server's threads and may block; one request at a time per connection.
using Handler = std::function<Response(const Request &)>;

struct ServerOptions
{
    std::string listenAddress; ///< ip:port; port 0 lets the kernel choose.
    int threads = 64; ///< Also the limit on connections served at once.
    std::size_t maxBodyBytes = 1U << 20U;
    /// All bodies together; a request beyond it is answered with 503, as not run.
    std::size_t maxBodiesBytes = std::size_t {256} * 1024 * 1024;
    Base::Duration requestTimeout = Base::seconds(30); ///< For reading one request.
    Handler handler;
};

/// HTTP/1.1 server with limits on header size, body size, connections and time.
class Server
{
public:
    static Base::Result<std::unique_ptr<Server>> create(ServerOptions options);
    virtual ~Server() = default;

    /// Address with the real port.
    virtual std::string listenAddress() const = 0;

    /// Stops accepting, lets running handlers finish, then closes.
    virtual void shutDown() = 0;
};

} // namespace Http
