#pragma once

#include "LibBase/Clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace Services {

/// An event for the decision thread.
using Event = std::function<void()>;

/// Queue of the decision thread. Any thread may post; timers belong to the decision thread.
class EventQueue
{
public:
    /// Queues an event; dropped after close(). Thread-safe.
    void post(Event event);

    /// Runs the event at `due`. Called on the decision thread only.
    void postAt(Base::Instant due, Event event);

    /// Waits until an event or timer is due, at the latest until `wake`, and returns what is due.
    std::vector<Event> wait(const Base::Clock &clock, Base::Instant wake);

    /// Drops all events, now and later. Thread-safe.
    void close();

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<Event> events_;
    bool closed_ = false;
    std::multimap<Base::Instant, Event> timers_;
};

} // namespace Services
