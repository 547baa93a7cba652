#pragma once

#include "LibHttp/Client.h"

#include <civetweb.h>
#include <memory>
#include <string>

namespace Http {

/// Largest response body that a client accepts.
constexpr std::size_t MaxResponseBytes = std::size_t {8} * 1024 * 1024;

struct ConnectionCloser
{
    void operator()(mg_connection *connection) const { mg_close_connection(connection); }
};

using ConnectionPointer = std::unique_ptr<mg_connection, ConnectionCloser>;

/// Client over one CivetWeb connection.
///
/// CivetWeb applies the time limit of a call to the response headers only. Inside a body it waits up to its
/// own 30 s for each piece and offers no way to change that, so a server that stalls inside a body holds
/// exchange() for that long; users with a tighter deadline must not wait for exchange() to return.
class CivetWebClient final : public Client
{
public:
    CivetWebClient(ConnectionPointer connection, std::string address);

    tl::expected<Response, ExchangeError> exchange(const Request &request, Base::Duration timeout) override;
    bool isUsable() const override { return usable_; }

private:
    Base::Result<Response> receive(Base::Duration timeout);
    Base::Result<std::string> readBody(long long length, Base::Instant deadline);

    ConnectionPointer connection_;
    std::string address_;
    bool usable_ = true;
};

} // namespace Http
