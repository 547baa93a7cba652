#pragma once

#include "LibBase/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace Services {

/// Work for the decision thread, posted by the threads of the transports.
class ControlEventQueue
{
public:
    using Event = std::function<void()>;

    /// Beyond this length new events are refused, so that a flood of calls does not fill the memory.
    static constexpr std::size_t MaxLength = 16384;

    /// Adds an event; false when the queue is full or closed.
    bool post(Event event);

    /// Waits up to `timeout` for events and takes all of them.
    std::vector<Event> take(Base::Duration timeout);

    /// Refuses later events.
    void close();

private:
    std::mutex mutex_;
    std::condition_variable posted_;
    std::vector<Event> events_;
    bool closed_ = false;
};

} // namespace Services
