#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibWire/RegistryMessages.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Registry {

/// Milliseconds since a read; UINT32_MAX if there was none.
std::uint32_t readAgeMs(Base::Instant now, std::optional<Base::Instant> readAt);

/// The most recent copy of the platform's server list known to this process, read by itself or by another.
/// Copies are ordered by read time, so that one reader serves all processes and any of them can take over.
class ServerListHolder
{
public:
    /// Read interval of the leader; a change is seen after half of it on average.
    static constexpr Base::Duration ReadInterval = Base::milliseconds(900);
    /// List age at which any other process reads the list itself, because the leader has missed a read.
    static constexpr Base::Duration TakeoverAge = Base::milliseconds(2500);

    /// Returns the interval between reads, which exceeds ReadInterval if such reads would use up the rate
    /// limit shared by all processes. Load pattern: a list of many pages on a platform with a low rate limit.
    static Base::Duration readInterval(std::size_t pages, double callsPerSecond);

    /// Time to read a large list and send it to the other registries.
    static constexpr Base::Duration FirstReadStagger = Base::milliseconds(200);

    /// Returns how long a registry waits after its start for a list from another one before it reads itself.
    /// Delays are staggered in address order, starting at zero, so that the list is read once and a dead
    /// registry adds little delay. Load pattern: all registries start together without a list or a leader.
    static Base::Duration firstReadDelay(const std::string &ownAddress, std::span<const std::string> others);

    /// Stores a list unless a later read is held. A list without servers whose digest matches only renews the
    /// read time. `packed` holds the servers in encoded form as received; without it they are encoded here.
    /// Returns true if the content changed.
    bool offer(Base::Instant now, const Wire::ServerList &list, std::string_view packed = {});

    bool isKnown() const { return readAt_.has_value(); }
    std::uint64_t digest() const { return digest_; }
    Base::Instant readAt() const { return readAt_.value_or(Base::Instant {}); }
    /// Returns the list with its age, without servers if `heldDigest` matches. Returns nothing if no list is
    /// known or the receiver's copy is at least as recent: the receiver would reject it and ask again at
    /// once.
    std::optional<Wire::PackedServerList> copyFor(Base::Instant now, std::uint64_t heldDigest,
                                                  std::uint32_t heldAgeMs = UINT32_MAX) const;
    /// Age of the list in milliseconds; UINT32_MAX if none is known.
    std::uint32_t ageMs(Base::Instant now) const { return readAgeMs(now, readAt_); }

    /// Returns whether this process should read the list now.
    bool shouldRead(Base::Instant now, bool isLeader, Base::Duration interval = ReadInterval) const;

private:
    std::string packedServers_;
    std::uint64_t digest_ = 0;
    std::optional<Base::Instant> readAt_;
};

/// Decodes a received list, without servers if it was sent without them; MalformedMessage if it is damaged.
Base::Result<Wire::ServerList> unpack(const Wire::PackedServerList &packed);

} // namespace Registry
