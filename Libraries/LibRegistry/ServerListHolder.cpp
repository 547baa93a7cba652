#include "LibRegistry/ServerListHolder.h"

namespace Registry {

bool ServerListHolder::offer(Base::Instant now, const Wire::ServerList &list)
{
    const auto readAt = now - Base::milliseconds(list.ageMs);
    if (readAt_ && readAt <= *readAt_)
        return false;
    const bool same = list.digest == list_.digest && readAt_.has_value();
    if (!same && list.servers.empty())
        return false; // The sender supposed that this content is held; it sends the content next time.
    readAt_ = readAt;
    if (same)
        return false;
    list_ = list;
    return true;
}

std::uint32_t ServerListHolder::ageMs(Base::Instant now) const
{
    return readAt_ ? static_cast<std::uint32_t>((now - *readAt_) / Base::milliseconds(1)) : UINT32_MAX;
}

std::optional<Wire::ServerList> ServerListHolder::copyFor(Base::Instant now, std::uint64_t heldDigest,
                                                          std::uint32_t heldAgeMs) const
{
    if (!readAt_ || heldAgeMs <= ageMs(now))
        return std::nullopt;
    Wire::ServerList copy;
    copy.digest = list_.digest;
    copy.ageMs = ageMs(now);
    if (heldDigest != list_.digest)
        copy.servers = list_.servers;
    return copy;
}

bool ServerListHolder::shouldRead(Base::Instant now, bool isLeader) const
{
    return !readAt_ || now - *readAt_ >= (isLeader ? ReadInterval : TakeOverAge);
}

} // namespace Registry
