#include "HostileCallers/Crowd.h"

#include "LibEdge/SocketAddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace HostileCallers {

namespace {

using Clock = std::chrono::steady_clock;

/// Without progress of any client for this long, the crowd counts as still.
constexpr std::chrono::milliseconds StillAfter {400};
constexpr std::chrono::milliseconds StepPause {5};
/// Kernel buffer of a client; a small one, so that answers that nobody reads stay with their sender.
constexpr int ReceiveBufferBytes = 4096;
/// Longest wait of an ordinary caller for one step of its exchange.
constexpr timeval OrdinaryPatience {2, 0};

int openSocket(const std::string &address, int flags)
{
    const auto endpoint = Edge::parseEndpoint(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | flags, 0);
    if (!endpoint || descriptor < 0)
        return descriptor;
    if (flags != 0)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(ReceiveBufferBytes));
    else
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &OrdinaryPatience, sizeof(OrdinaryPatience));
    // A connection that fails shows when something is sent.
    (void)::connect(descriptor, endpoint->data(), static_cast<socklen_t>(endpoint->size()));
    return descriptor;
}

} // namespace

Crowd::Crowd(const std::string &address, Manner manner)
    : address_(address)
    , manner_(std::move(manner))
    , clients_(manner_.clients)
    , lastMoved_(Clock::time_point::max())
    , thread_([this] { drive(); })
{
}

Crowd::~Crowd()
{
    stopping_ = true;
    thread_.join();
    for (const auto &client : clients_) {
        if (client.descriptor >= 0)
            ::close(client.descriptor);
    }
}

bool Crowd::isStill() const
{
    return lastMoved_.load() < Clock::now() - StillAfter;
}

void Crowd::drive()
{
    for (auto &client : clients_)
        client.descriptor = openSocket(address_, SOCK_NONBLOCK);
    lastMoved_ = Clock::now();
    while (!stopping_) {
        const auto now = Clock::now();
        bool moved = false;
        for (auto &client : clients_)
            moved = step(client, now) || moved;
        if (moved)
            lastMoved_ = now;
        else
            std::this_thread::sleep_for(StepPause);
    }
}

/// Returns whether the client has sent or read something.
bool Crowd::step(Client &client, Clock::time_point now) const
{
    if (now < client.next || client.descriptor < 0)
        return false;
    bool moved = false;
    if (manner_.readBytes > 0) {
        std::string piece(manner_.readBytes, '\0');
        moved = ::recv(client.descriptor, piece.data(), piece.size(), MSG_DONTWAIT) > 0;
    }
    auto rest = std::string_view(manner_.bytes).substr(client.sent);
    if (manner_.pieceBytes > 0)
        rest = rest.substr(0, manner_.pieceBytes);
    const auto count =
        rest.empty() ? 0 : ::send(client.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    client.next = now + manner_.pause;
    if (count <= 0)
        return moved;
    client.sent += static_cast<std::size_t>(count);
    return true;
}

int statusOf(const std::string &address, const std::string &request)
{
    const int descriptor = openSocket(address, 0);
    std::string answer;
    if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(request.size())) {
        std::array<char, 4096> buffer {};
        for (ssize_t count = 1; count > 0 && answer.find("\r\n") == std::string::npos;) {
            count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
            answer.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
    }
    ::close(descriptor);
    constexpr std::string_view Version = "HTTP/1.1 ";
    return answer.starts_with(Version) ? std::atoi(answer.c_str() + Version.size()) : 0;
}

} // namespace HostileCallers
