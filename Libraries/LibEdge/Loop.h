#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <functional>
#include <memory>

namespace boost::asio { // NOLINT(readability-identifier-naming): the library's own name.
class io_context;
}

namespace Edge {

/// The event loop of one thread. Everything but post() and stop() must be called on the thread that runs it.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Runs until stop().
    void run();
    /// Runs what is ready, waiting at most `limit`; for tests.
    void runFor(Base::Duration limit);
    void stop();

    /// Runs `task` on the loop's thread; thread-safe.
    void post(std::function<void()> task);

    /// Calls `task` each `interval` until the loop ends.
    void repeat(Base::Duration interval, std::function<void()> task);

    /// Calls `task` once after `delay`, in place of the wake-up set before.
    void setWakeUp(Base::Duration delay, std::function<void()> task);
    void clearWakeUp();

    /// Holds these signals back in this thread, and those that it starts, until onSignals() takes them. A
    /// process calls this first, because a signal without a handler would end it.
    static void holdSignals(std::initializer_list<int> signals);

    /// Calls `task` for each arrival of one of these signals, also for one that was held back.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> task);

    boost::asio::io_context &context();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace Edge
