#include "LibPeer/StreamResponder.h"

#include <utility>

namespace Peer {

StreamResponder::StreamResponder(std::shared_ptr<Mailbox> mailbox, AnswerSink sink)
    : mailbox_(std::move(mailbox))
    , sink_(std::move(sink))
{
}

void StreamResponder::reply(Base::Bytes payload)
{
    answer(std::move(payload));
}

void StreamResponder::fail(const Base::Error &error)
{
    answer(tl::unexpected<Base::Error>(error));
}

void StreamResponder::answer(Base::Result<Base::Bytes> result)
{
    AnswerSink sink;
    std::function<void()> unusedCallback;
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(answered_, true) || cancelled_)
            return;
        sink = std::move(sink_);
        // Destroyed outside the lock, because it may hold the last reference to other objects.
        unusedCallback = std::exchange(callback_, {});
    }
    mailbox_->post(
        [sink = std::move(sink), result = std::move(result)]() mutable { sink(std::move(result)); });
}

void StreamResponder::onCancelled(std::function<void()> callback)
{
    {
        const std::lock_guard lock(mutex_);
        if (answered_)
            return;
        if (!cancelled_) {
            callback_ = std::move(callback);
            return;
        }
    }
    callback();
}

void StreamResponder::markCancelled()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(mutex_);
        cancelled_ = true;
        if (!answered_)
            callback = std::exchange(callback_, {});
    }
    if (callback)
        callback();
}

} // namespace Peer
