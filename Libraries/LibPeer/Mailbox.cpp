#include "LibPeer/Mailbox.h"

#include <cstdint>
#include <sys/eventfd.h>

namespace Peer {

Mailbox::Mailbox()
    : eventDescriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

bool Mailbox::post(Task task)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
            return false;
        wasEmpty = tasks_.empty();
        tasks_.push_back(std::move(task));
    }
    if (wasEmpty) {
        const std::uint64_t one = 1;
        // A failed write means that the counter is at its maximum, and the loop wakes up anyway.
        [[maybe_unused]] const auto written = ::write(eventDescriptor_.get(), &one, sizeof(one));
    }
    return true;
}

std::vector<Task> Mailbox::take()
{
    std::uint64_t count = 0;
    // Cleared before the tasks are taken, so that a task queued in between still causes a wake-up.
    [[maybe_unused]] const auto read = ::read(eventDescriptor_.get(), &count, sizeof(count));
    const std::lock_guard lock(mutex_);
    return std::exchange(tasks_, {});
}

std::vector<Task> Mailbox::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
    return std::exchange(tasks_, {});
}

} // namespace Peer
