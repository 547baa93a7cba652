#include "LibRegistry/ServerListHolder.h"

#include "LibWire/Packed.h"

#include <algorithm>

namespace Registry {

namespace {

/// Fraction of the platform's rate limit used by one reader; the rest is reserved for a second one taking
/// over.
constexpr double ReaderRateFraction = 0.5;

} // namespace

Base::Duration ServerListHolder::firstReadDelay(const std::string &ownAddress,
                                                std::span<const std::string> others)
{
    const auto lowerAddresses = std::count_if(others.begin(), others.end(),
                                              [&](const std::string &other) { return other < ownAddress; });
    return lowerAddresses * FirstReadStagger;
}

bool ServerListHolder::offer(Base::Instant now, const Wire::ServerList &list, std::string_view packed)
{
    const auto readAt = now - Base::milliseconds(list.ageMs);
    if (readAt_ && readAt <= *readAt_)
        return false;
    const bool sameContent = list.digest == digest_ && readAt_.has_value();
    if (!sameContent && list.servers.empty())
        return false; // The sender assumed that this content is held; it sends the content next time.
    readAt_ = readAt;
    if (sameContent)
        return false;
    digest_ = list.digest;
    packedServers_ = packed.empty() ? Wire::pack(list.servers) : std::string(packed);
    return true;
}

Base::Result<Wire::ServerList> unpack(const Wire::PackedServerList &packed)
{
    Wire::ServerList list {{}, packed.digest, packed.ageMs};
    if (packed.servers.empty())
        return list;
    auto servers = Wire::unpack<std::vector<Wire::ServerRecord>>(packed.servers);
    if (!servers)
        return tl::unexpected(servers.error());
    list.servers = std::move(*servers);
    return list;
}

std::uint32_t readAgeMs(Base::Instant now, std::optional<Base::Instant> readAt)
{
    return readAt ? static_cast<std::uint32_t>((now - *readAt) / Base::milliseconds(1)) : UINT32_MAX;
}

std::optional<Wire::PackedServerList> ServerListHolder::copyFor(Base::Instant now, std::uint64_t heldDigest,
                                                                std::uint32_t heldAgeMs) const
{
    if (!readAt_ || heldAgeMs <= ageMs(now))
        return std::nullopt;
    return Wire::PackedServerList {heldDigest == digest_ ? std::string() : packedServers_, digest_,
                                   ageMs(now)};
}

Base::Duration ServerListHolder::readInterval(std::size_t pages, double callsPerSecond)
{
    const auto seconds = static_cast<double>(pages) / (ReaderRateFraction * callsPerSecond);
    return std::max(ReadInterval,
                    std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds)));
}

bool ServerListHolder::shouldRead(Base::Instant now, bool isLeader, Base::Duration interval) const
{
    return !readAt_ || now - *readAt_ >= (isLeader ? interval : std::max(TakeoverAge, 2 * interval));
}

} // namespace Registry
