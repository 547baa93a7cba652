#include "BackendStandIn/EventLoop.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <unistd.h>

namespace StandIn {

namespace {

constexpr int EventsPerWait = 256;
constexpr Base::Duration LongestWait = Base::seconds(1);

} // namespace

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
{
}

EventLoop::~EventLoop()
{
    close(epoll_);
}

void EventLoop::watch(int descriptor, std::uint32_t events, Callback ready)
{
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    const bool known = watches_.find(descriptor) != watches_.end();
    epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
    watches_[descriptor] = std::move(ready);
}

void EventLoop::unwatch(int descriptor)
{
    epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
    watches_.erase(descriptor);
}

EventLoop::TimerId EventLoop::after(Base::Duration delay, Callback action)
{
    const auto id = ++lastTimer_;
    timerPositions_[id] = timers_.emplace(now() + delay, Timer {id, std::move(action)});
    return id;
}

void EventLoop::cancelTimer(TimerId timer)
{
    const auto found = timerPositions_.find(timer);
    if (found == timerPositions_.end())
        return;
    timers_.erase(found->second);
    timerPositions_.erase(found);
}

void EventLoop::runDueTimers()
{
    while (!timers_.empty() && timers_.begin()->first <= now()) {
        auto timer = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        timerPositions_.erase(timer.id);
        timer.action();
    }
}

void EventLoop::waitForSockets()
{
    auto wait = LongestWait;
    if (!timers_.empty())
        wait = std::clamp(timers_.begin()->first - now(), Base::Duration(0), LongestWait);
    const auto whole = std::chrono::duration_cast<Base::seconds>(wait);
    const timespec timeout {whole.count(), std::chrono::nanoseconds(wait - whole).count()};
    std::array<epoll_event, EventsPerWait> events {};
    // epoll_wait would round service times to whole milliseconds.
    const int count = epoll_pwait2(epoll_, events.data(), EventsPerWait, &timeout, nullptr);
    for (int position = 0; position < count; ++position) {
        const auto found = watches_.find(events[static_cast<std::size_t>(position)].data.fd);
        if (found == watches_.end())
            continue;
        const auto ready = found->second; // A callback may remove its own watch.
        ready();
    }
}

void EventLoop::run()
{
    while (running_) {
        runDueTimers();
        waitForSockets();
    }
}

} // namespace StandIn
