#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace HostileCallers {

/// What a backend server sends instead of an answer, until its peer closes.
struct Stream
{
    std::string start; ///< Sent once.
    std::string filler; ///< Repeated without end.
    std::size_t burstBytes = 0; ///< Sent at once; what follows comes as one filler in each pause.
    std::chrono::milliseconds pause {0}; ///< Without one, each connection takes as much as it can.
};

/// Backend servers that answer each request with a stream without end, driven by one thread.
class FaultyServers
{
public:
    explicit FaultyServers(std::span<const std::string> addresses);
    ~FaultyServers();
    FaultyServers(const FaultyServers &) = delete;
    FaultyServers &operator=(const FaultyServers &) = delete;

    /// Sets the stream; call it before the first request.
    void setStream(Stream stream) { stream_ = std::move(stream); }

    /// Bytes sent on all connections.
    std::size_t sentBytes() const { return sentBytes_; }

private:
    struct Peer
    {
        int descriptor = -1;
        bool asked = false; ///< Its request has arrived.
        std::string pending; ///< Not taken by the connection yet.
        std::size_t sent = 0;
        std::chrono::steady_clock::time_point next;
    };

    void drive();
    void acceptPeers();
    /// Returns false once the peer has closed.
    bool step(Peer &peer, std::chrono::steady_clock::time_point now);

    std::vector<int> listeners_;
    Stream stream_;
    std::vector<Peer> peers_;
    std::atomic<std::size_t> sentBytes_ {0};
    std::atomic<bool> stopping_ {false};
    std::thread thread_;
};

} // namespace HostileCallers
