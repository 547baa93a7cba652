#include "Services/Control/EventQueue.h"

#include <utility>

namespace Services {

bool EventQueue::post(Event event)
{
    {
        const std::lock_guard lock(mutex_);
        if (closed_ || events_.size() >= MaxLength)
            return false;
        events_.push_back(std::move(event));
    }
    posted_.notify_one();
    return true;
}

std::vector<EventQueue::Event> EventQueue::take(Base::Duration timeout)
{
    std::unique_lock lock(mutex_);
    posted_.wait_for(lock, timeout, [this] { return !events_.empty(); });
    return std::exchange(events_, {});
}

void EventQueue::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

} // namespace Services
