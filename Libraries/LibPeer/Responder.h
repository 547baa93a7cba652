#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"

#include <functional>

namespace Peer {

/// Answers one request of a peer. All functions are thread-safe; only the first answer counts.
class Responder
{
public:
    virtual ~Responder() = default;
    virtual void reply(Base::Bytes payload) = 0;
    virtual void fail(const Base::Error &error) = 0;

    /// Sets a callback for when the caller cancelled or its connection broke; runs at most once on the
    /// endpoint's thread, or at once when that already happened.
    virtual void onCancelled(std::function<void()> callback) = 0;
};

} // namespace Peer
