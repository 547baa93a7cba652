#pragma once

#include "BackendStandIn/EventLoop.h"
#include "BackendStandIn/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace StandIn {

/// One accepted keep-alive connection; reads the next request after the response to the one before it.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    using RequestHandler = std::function<void(const std::shared_ptr<Connection> &, HttpRequest)>;
    using CloseHandler = std::function<void(Connection &)>;

    Connection(EventLoop &loop, int socket, RequestHandler onRequest, CloseHandler onClose);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Reads nothing before `delay` has passed, which stands for the cost of a new connection.
    void start(Base::Duration delay);

    void respond(const HttpResponse &response);
    void close();
    bool isOpen() const { return socket_ >= 0; }

private:
    void readReady();
    void parseBuffered();
    void writeBuffered();

    EventLoop &loop_;
    int socket_;
    RequestHandler onRequest_;
    CloseHandler onClose_;
    std::string input_;
    std::string output_;
    bool answering_ = false;
};

} // namespace StandIn
