#include "LibPeer/CallTable.h"

#include <utility>

namespace Peer {

void CallTable::add(Call call)
{
    const auto id = call.id;
    deadlines_.emplace(call.deadline, id);
    calls_.emplace(id, std::move(call));
}

Call *CallTable::find(CallId id)
{
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
}

void CallTable::complete(CallId id, Base::Result<Base::Bytes> result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const auto done = std::move(found->second.done);
    deadlines_.erase({found->second.deadline, id});
    calls_.erase(found);
    done(std::move(result));
}

void CallTable::completeAsLost(CallId id, const std::string &reason)
{
    const auto *call = find(id);
    if (call == nullptr)
        return;
    const auto kind = call->sent ? Base::ErrorKind::PeerReplyLost : Base::ErrorKind::PeerUnreachable;
    complete(id, Base::fail(kind, reason));
}

std::vector<CallId> CallTable::expired(Base::Instant now) const
{
    std::vector<CallId> found;
    for (const auto &[deadline, id] : deadlines_) {
        if (deadline > now)
            break;
        found.push_back(id);
    }
    return found;
}

std::optional<Base::Instant> CallTable::nextDeadline() const
{
    if (deadlines_.empty())
        return std::nullopt;
    return deadlines_.begin()->first;
}

std::vector<CallId> CallTable::ids() const
{
    std::vector<CallId> all;
    all.reserve(calls_.size());
    for (const auto &[id, call] : calls_)
        all.push_back(id);
    return all;
}

} // namespace Peer
