#include "Services/Control/ControlEventQueue.h"

#include <utility>

namespace Services {

bool ControlEventQueue::post(Event event)
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

std::vector<ControlEventQueue::Event> ControlEventQueue::take(Base::Duration timeout)
{
    std::unique_lock lock(mutex_);
    posted_.wait_for(lock, timeout, [this] { return !events_.empty(); });
    return std::exchange(events_, {});
}

void ControlEventQueue::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

} // namespace Services
