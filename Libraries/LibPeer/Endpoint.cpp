#include "LibPeer/Endpoint.h"

#include "LibPeer/EndpointLoop.h"

#include <atomic>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <thread>

namespace Peer {

namespace {

constexpr int ListenBacklog = 1024;

Base::Result<FileDescriptor> listenOn(const std::string &address)
{
    const auto parsed = SocketAddress::parse(address);
    if (!parsed)
        return tl::unexpected<Base::Error>(parsed.error());
    FileDescriptor socket(::socket(parsed->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (::bind(socket.get(), parsed->data(), parsed->size()) != 0
        || ::listen(socket.get(), ListenBacklog) != 0) {
        const auto *reason = std::strerror(errno); // NOLINT: thread-safe for known codes.
        return Base::fail(Base::ErrorKind::SettingInvalid,
                          fmt::format("cannot listen on {}: {}", address, reason));
    }
    return socket;
}

} // namespace

/// Owns the loop and its thread.
class Endpoint::Implementation
{
public:
    Implementation(EndpointOptions options, FileDescriptor listener)
        : loop(std::move(options), std::move(listener))
        , thread([this] { loop.run(); })
    {
    }
    ~Implementation()
    {
        loop.mailbox()->post([this] { loop.stop(); });
        join();
    }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void join()
    {
        if (thread.joinable())
            thread.join();
    }

    EndpointLoop loop;
    std::atomic<CallId> lastCall {0};
    std::thread thread;
};

Endpoint::Endpoint(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

Endpoint::~Endpoint() = default;

Base::Result<std::unique_ptr<Endpoint>> Endpoint::create(EndpointOptions options)
{
    if (options.sharedSecret.empty())
        return Base::fail(Base::ErrorKind::SettingInvalid, "the shared secret is empty");
    if (!options.handler) {
        options.handler = [](Wire::Method, const Base::Bytes &, const std::shared_ptr<Responder> &responder) {
            responder->fail({Base::ErrorKind::NotFound, "this process serves no calls"});
        };
    }
    auto listener = listenOn(options.listenAddress);
    if (!listener)
        return tl::unexpected<Base::Error>(listener.error());
    auto implementation = std::make_unique<Implementation>(std::move(options), std::move(*listener));
    return std::unique_ptr<Endpoint>(new Endpoint(std::move(implementation)));
}

std::string Endpoint::listenAddress() const
{
    return implementation_->loop.listenAddress();
}

CallId Endpoint::call(std::string_view address, Wire::Method method, Base::Bytes payload,
                      Base::Duration timeout, ReplyHandler done)
{
    const auto id = ++implementation_->lastCall;
    auto &loop = implementation_->loop;
    Call call;
    call.id = id;
    call.method = method;
    loop.traffic().countCall(method, payload.size());
    call.payload = std::move(payload);
    call.deadline = loop.clock().now() + timeout;
    // Shared, so that the handler is still here when the mailbox is closed and drops the task.
    call.done = [&loop, method, done = std::move(done)](Base::Result<Base::Bytes> reply) {
        if (reply)
            loop.traffic().countReply(method, reply->size());
        done(std::move(reply));
    };
    auto shared = std::make_shared<Call>(std::move(call));
    const auto posted = loop.mailbox()->post(
        [&loop, shared, target = std::string(address)] { loop.startCall(target, std::move(*shared)); });
    if (!posted)
        shared->done(Base::fail(Base::ErrorKind::PeerUnreachable, "endpoint stopped"));
    return id;
}

const TrafficCounters &Endpoint::traffic() const
{
    return implementation_->loop.traffic();
}

void Endpoint::cancel(CallId id)
{
    auto &loop = implementation_->loop;
    loop.mailbox()->post([&loop, id] { loop.cancelCall(id); });
}

void Endpoint::shutDown(Base::Duration timeout)
{
    auto &loop = implementation_->loop;
    const auto deadline = loop.clock().now() + timeout;
    loop.mailbox()->post([&loop, deadline] { loop.beginShutdown(deadline); });
    implementation_->join();
}

} // namespace Peer
