#include "Services/Entry/EventQueue.h"

#include <algorithm>
#include <utility>

namespace Services {

void EventQueue::post(Event event)
{
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
            return;
        events_.push_back(std::move(event));
        if (events_.size() > 1)
            return;
    }
    arrived_.notify_one();
}

void EventQueue::postAt(Base::Instant due, Event event)
{
    timers_.emplace(due, std::move(event));
}

std::vector<Event> EventQueue::wait(const Base::Clock &clock, Base::Instant wake)
{
    if (!timers_.empty())
        wake = std::min(wake, timers_.begin()->first);
    std::vector<Event> due;
    {
        std::unique_lock lock(mutex_);
        const auto time = wake - clock.now();
        if (time.count() > 0)
            arrived_.wait_for(lock, time, [this] { return !events_.empty() || closed_; });
        due = std::exchange(events_, {});
    }
    const auto now = clock.now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
        due.push_back(std::move(timers_.begin()->second));
        timers_.erase(timers_.begin());
    }
    return due;
}

void EventQueue::close()
{
    std::vector<Event> dropped;
    const std::lock_guard lock(mutex_);
    closed_ = true;
    dropped = std::exchange(events_, {});
    arrived_.notify_all();
}

} // namespace Services
