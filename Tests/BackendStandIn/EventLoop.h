#pragma once

#include "LibBase/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace StandIn {

/// One thread that waits for sockets and timers. Callbacks run on it, so nothing here needs locks.
class EventLoop
{
public:
    using Callback = std::function<void()>;
    using TimerId = std::uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Calls `ready` whenever `descriptor` has one of the epoll `events`; replaces an earlier watch.
    void watch(int descriptor, std::uint32_t events, Callback ready);
    void unwatch(int descriptor);

    TimerId after(Base::Duration delay, Callback action);

    /// Does nothing when the timer ran already.
    void cancelTimer(TimerId timer);

    /// Returns after stop().
    void run();
    void stop() { running_ = false; }

    Base::Instant now() const { return clock_.now(); }

private:
    struct Timer
    {
        TimerId id;
        Callback action;
    };

    void runDueTimers();
    void waitForSockets();

    Base::SystemClock clock_;
    int epoll_;
    bool running_ = true;
    TimerId lastTimer_ = 0;
    std::multimap<Base::Instant, Timer> timers_;
    std::unordered_map<TimerId, std::multimap<Base::Instant, Timer>::iterator> timerPositions_;
    std::unordered_map<int, Callback> watches_;
};

} // namespace StandIn
