#pragma once

#include "LibPeer/Endpoint.h"

#include <future>
#include <memory>
#include <string>

namespace Peer {

constexpr auto Secret = "secret of the tests";

/// Long enough that only a fault lets a call run into it.
constexpr auto LongTimeout = Base::seconds(120);

using Reply = Base::Result<Base::Bytes>;

inline std::unique_ptr<Endpoint> makeEndpoint(RequestHandler handler = {}, std::string secret = Secret)
{
    auto endpoint = Endpoint::create({"127.0.0.1:0", std::move(secret), std::move(handler)});
    return endpoint ? std::move(*endpoint) : nullptr;
}

/// Answers with the payload of the request.
inline void echo(Wire::Method /*method*/, Base::Bytes payload, const std::shared_ptr<Responder> &responder)
{
    responder->reply(std::move(payload));
}

inline std::future<Reply> startCall(Endpoint &endpoint, const std::string &address, Base::Bytes payload,
                                    Base::Duration timeout = LongTimeout, CallId *id = nullptr)
{
    auto promise = std::make_shared<std::promise<Reply>>();
    auto future = promise->get_future();
    const auto call = endpoint.call(address, Wire::Method::ExecuteSubrequest, std::move(payload), timeout,
                                    [promise](Reply reply) { promise->set_value(std::move(reply)); });
    if (id != nullptr)
        *id = call;
    return future;
}

} // namespace Peer
