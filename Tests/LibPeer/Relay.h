#pragma once

#include "Support/RawSocket.h"

#include <atomic>
#include <poll.h>
#include <string>
#include <thread>

namespace Peer {

/// Forwards one connection to another address until it is told to drop all bytes, which looks to both ends
/// like a silent network partition: the connections stay open and nothing arrives.
class Relay
{
public:
    explicit Relay(std::string target)
        : target_(std::move(target))
        , listener_(Support::RawSocket::listening())
        , thread_([this] { run(); })
    {
    }
    ~Relay()
    {
        stopped_ = true;
        thread_.join();
    }
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    std::string address() const { return listener_.address(); }
    void cut() { cut_ = true; }

private:
    void run()
    {
        const auto near = listener_.accept();
        const auto far = Support::RawSocket::connectTo(target_);
        while (!stopped_) {
            pollfd events[] {{near.descriptor(), POLLIN, 0}, {far.descriptor(), POLLIN, 0}};
            constexpr int PollMilliseconds = 10;
            ::poll(events, 2, PollMilliseconds);
            if (events[0].revents != 0)
                forward(near, far);
            if (events[1].revents != 0)
                forward(far, near);
        }
    }

    void forward(const Support::RawSocket &from, const Support::RawSocket &to) const
    {
        const auto data = from.receive();
        if (!cut_)
            to.send(data);
        // An ended connection stays readable; waiting keeps the loop from spinning.
        if (data.empty())
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }

    std::string target_;
    Support::RawSocket listener_;
    std::atomic<bool> cut_ {false};
    std::atomic<bool> stopped_ {false};
    std::thread thread_;
};

} // namespace Peer
