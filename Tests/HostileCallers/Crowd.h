#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace HostileCallers {

/// How each client of a crowd behaves. No client ever closes its connection.
struct Manner
{
    std::size_t clients = 0;
    std::string bytes; ///< What each client sends.
    std::size_t pieceBytes = 0; ///< Size of one send; 0 for as much as the connection takes.
    std::chrono::milliseconds pause {0}; ///< Between two pieces.
    std::size_t readBytes = 0; ///< Read after each pause; without it answers stay unread.
};

/// Many connections to one address, driven by a thread of their own.
class Crowd
{
public:
    Crowd(const std::string &address, Manner manner);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// True once no client has sent or read anything for a while: all are done, or have to wait.
    bool isStill() const;

private:
    struct Client
    {
        int descriptor = -1;
        std::size_t sent = 0;
        std::chrono::steady_clock::time_point next;
    };

    void drive();
    bool step(Client &client, std::chrono::steady_clock::time_point now) const;

    std::string address_;
    Manner manner_;
    std::vector<Client> clients_;
    std::atomic<std::chrono::steady_clock::time_point> lastMoved_;
    std::atomic<bool> stopping_ {false};
    std::thread thread_;
};

/// Sends one request on a connection of its own; returns the status of the answer, or 0 without one in time.
int statusOf(const std::string &address, const std::string &request);

} // namespace HostileCallers
