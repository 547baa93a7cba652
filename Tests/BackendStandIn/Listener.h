#pragma once

#include "BackendStandIn/EventLoop.h"
#include "LibBase/Error.h"

#include <functional>
#include <string>

namespace StandIn {

/// Accepts TCP connections on one address.
class Listener
{
public:
    /// Gets an accepted, non-blocking socket and owns it.
    using AcceptHandler = std::function<void(int socket)>;

    Listener(EventLoop &loop, std::string address, AcceptHandler onAccept);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    Base::Result<void> open();
    void close();

private:
    void acceptReady();

    EventLoop &loop_;
    std::string address_;
    AcceptHandler onAccept_;
    int socket_ = -1;
};

} // namespace StandIn
