#pragma once

#include "LibPeer/FileDescriptor.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Peer {

using Task = std::function<void()>;

/// Hands tasks from any thread to the loop thread and wakes it by an eventfd.
class Mailbox
{
public:
    Mailbox();

    /// Queues a task; returns false after close(), and the task is then dropped.
    bool post(Task task);

    /// Takes all queued tasks and clears the wake-up.
    std::vector<Task> take();

    /// Refuses further tasks and returns those that are still queued.
    std::vector<Task> close();

    int descriptor() const { return eventDescriptor_.get(); }

private:
    FileDescriptor eventDescriptor_;
    std::mutex mutex_;
    std::vector<Task> tasks_;
    bool closed_ = false;
};

} // namespace Peer
