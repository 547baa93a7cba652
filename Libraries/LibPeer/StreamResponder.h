#pragma once

#include "LibPeer/Mailbox.h"
#include "LibPeer/Responder.h"

#include <memory>
#include <mutex>

namespace Peer {

/// Runs on the loop thread with the answer of one request.
using AnswerSink = std::function<void(Base::Result<Base::Bytes>)>;

/// Responder of one stream; passes the first answer to the loop thread.
class StreamResponder final : public Responder
{
public:
    StreamResponder(std::shared_ptr<Mailbox> mailbox, AnswerSink sink);

    void reply(Base::Bytes payload) override;
    void fail(const Base::Error &error) override;
    void onCancelled(std::function<void()> callback) override;

    /// Runs the callback; called on the loop thread when the stream ended before an answer.
    void markCancelled();

private:
    void answer(Base::Result<Base::Bytes> result);

    std::shared_ptr<Mailbox> mailbox_;
    std::mutex mutex_;
    AnswerSink sink_;
    std::function<void()> callback_;
    bool answered_ = false;
    bool cancelled_ = false;
};

} // namespace Peer
