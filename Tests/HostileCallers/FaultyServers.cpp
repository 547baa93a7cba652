#include "HostileCallers/FaultyServers.h"

#include "LibEdge/SocketAddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace HostileCallers {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds StepPause {5};
constexpr std::size_t PieceBytes = 16384;
constexpr int Backlog = 512;

} // namespace

FaultyServers::FaultyServers(std::span<const std::string> addresses)
{
    for (const auto &address : addresses) {
        const auto endpoint = Edge::parseEndpoint(address);
        const int listener = listeners_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        const int on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (!endpoint || ::bind(listener, endpoint->data(), static_cast<socklen_t>(endpoint->size())) != 0
            || ::listen(listener, Backlog) != 0)
            throw std::runtime_error("cannot listen at " + address);
    }
    thread_ = std::thread([this] { drive(); });
}

FaultyServers::~FaultyServers()
{
    stopping_ = true;
    thread_.join();
    for (const auto &peer : peers_)
        ::close(peer.descriptor);
    for (const int listener : listeners_)
        ::close(listener);
}

void FaultyServers::drive()
{
    while (!stopping_) {
        acceptPeers();
        const auto now = Clock::now();
        const auto before = sentBytes_.load();
        std::erase_if(peers_, [&](Peer &peer) {
            const bool ended = !step(peer, now);
            if (ended)
                ::close(peer.descriptor);
            return ended;
        });
        if (sentBytes_ == before)
            std::this_thread::sleep_for(StepPause);
    }
}

void FaultyServers::acceptPeers()
{
    for (const int listener : listeners_) {
        int descriptor = -1;
        while ((descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
            peers_.emplace_back().descriptor = descriptor;
    }
}

bool FaultyServers::step(Peer &peer, Clock::time_point now)
{
    std::array<char, PieceBytes> buffer {};
    const auto received = ::recv(peer.descriptor, buffer.data(), buffer.size(), 0);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        return false;
    if (received > 0 && !peer.asked) {
        peer.asked = true;
        peer.pending = stream_.start;
    }
    if (!peer.asked || now < peer.next)
        return true;
    const bool inBurst = stream_.pause.count() == 0 || peer.sent < stream_.burstBytes;
    while (peer.pending.size() < (inBurst ? PieceBytes : 1))
        peer.pending += stream_.filler;
    const auto count = ::send(peer.descriptor, peer.pending.data(), peer.pending.size(), MSG_NOSIGNAL);
    if (count < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
    peer.pending.erase(0, static_cast<std::size_t>(count));
    peer.sent += static_cast<std::size_t>(count);
    sentBytes_ += static_cast<std::size_t>(count);
    if (!inBurst)
        peer.next = now + stream_.pause;
    return true;
}

} // namespace HostileCallers
