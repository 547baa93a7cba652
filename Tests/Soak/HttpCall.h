#pragma once

#include "LibEdge/BackendConnection.h"

#include <functional>
#include <memory>
#include <string>

namespace Soak {

/// One request on a connection of its own.
class HttpCall final : private Edge::BackendConnectionEvents
{
public:
    /// Receives the response, or null when there was none.
    using Done = std::function<void(const Edge::ResponseMessage *)>;

    static void start(Edge::Loop &loop, const std::string &address, std::string request, Done done)
    {
        auto *call = new HttpCall(loop, address, std::move(done));
        call->connection_.send(std::move(request));
    }

private:
    HttpCall(Edge::Loop &loop, const std::string &address, Done done)
        : loop_(loop)
        , done_(std::move(done))
        , connection_(loop, address, Base::seconds(1), *this)
    {
    }

    void finish(const Edge::ResponseMessage *response)
    {
        done_(response);
        // The connection is still on the stack.
        loop_.post([this] { delete this; });
    }

    void replyArrived(Edge::ResponseMessage response) override { finish(&response); }
    void exchangeFailed(Edge::ExchangeFailure, const std::string &) override { finish(nullptr); }
    void idleConnectionEnded() override { }

    Edge::Loop &loop_;
    Done done_;
    Edge::BackendConnection connection_;
};

} // namespace Soak
