#pragma once

#include "LibBackend/Action.h"
#include "LibPeer/Responder.h"

#include <memory>
#include <unordered_map>

namespace Services {

/// Who sent the sub-requests that the owner works on. Used on the decision thread only.
class SenderTable
{
public:
    /// Token of sub-requests from this process's own coordinator.
    static constexpr Backend::SenderToken Local = 0;

    Backend::SenderToken add(std::shared_ptr<Peer::Responder> responder)
    {
        senders_[++last_] = std::move(responder);
        return last_;
    }

    /// Removes a sender; null when it is not known.
    std::shared_ptr<Peer::Responder> take(Backend::SenderToken token)
    {
        const auto node = senders_.extract(token);
        return node.empty() ? nullptr : node.mapped();
    }

private:
    Backend::SenderToken last_ = Local;
    std::unordered_map<Backend::SenderToken, std::shared_ptr<Peer::Responder>> senders_;
};

} // namespace Services
