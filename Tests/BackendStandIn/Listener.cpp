#include "BackendStandIn/Listener.h"

#include "LibBase/AddressText.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace StandIn {

namespace {

constexpr int Backlog = 256;

bool bindTo(int socket, const Base::AddressParts &parts)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(parts.port);
    inet_pton(AF_INET, parts.ip.c_str(), &address.sin_addr);
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    return bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
           && listen(socket, Backlog) == 0;
}

} // namespace

Listener::Listener(EventLoop &loop, std::string address, AcceptHandler onAccept)
    : loop_(loop)
    , address_(std::move(address))
    , onAccept_(std::move(onAccept))
{
}

Listener::~Listener()
{
    close();
}

Base::Result<void> Listener::open()
{
    const auto parts = Base::parseAddress(address_);
    if (!parts)
        return Base::fail(Base::ErrorKind::SettingInvalid, address_ + " is not an address ip:port");
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0 || !bindTo(socket, *parts)) {
        const std::string reason = std::strerror(errno); // NOLINT(concurrency-mt-unsafe): one thread.
        ::close(socket);
        return Base::fail(Base::ErrorKind::SettingInvalid, "cannot listen on " + address_ + ": " + reason);
    }
    socket_ = socket;
    loop_.watch(socket_, EPOLLIN, [this] { acceptReady(); });
    return {};
}

void Listener::close()
{
    if (socket_ < 0)
        return;
    loop_.unwatch(socket_);
    ::close(socket_);
    socket_ = -1;
}

void Listener::acceptReady()
{
    const int accepted = accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0)
        return;
    const int enabled = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    onAccept_(accepted);
}

} // namespace StandIn
