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

/// Milliseconds since a read; the largest value when there was none.
std::uint32_t readAgeMs(Base::Instant now, std::optional<Base::Instant> readAt);

/// The newest read of the platform's server list that this process knows, its own or another's. Newer is what
/// was read later, so that one reader serves all processes and any of them can take over.
class ServerListHolder
{
public:
    /// Interval at which the leader reads; half of it passes on average until a change is seen.
    static constexpr Base::Duration ReadInterval = Base::milliseconds(900);
    /// Age at which any other process reads for itself: the leader has missed a read.
    static constexpr Base::Duration TakeOverAge = Base::milliseconds(2500);

    /// Load pattern: a list of many pages at a platform that takes few calls. Returns the interval between
    /// reads, which is longer than ReadInterval when these would use up the rate that all processes share.
    static Base::Duration readInterval(std::size_t pages, double callsPerSecond);

    /// Time for a read of a large list and for telling the others.
    static constexpr Base::Duration FirstReadStagger = Base::milliseconds(200);

    /// Load pattern: all registries start together, none holds a list, and there is no leader yet. Returns
    /// how long after its start a registry waits for a list from another one; the first in the order of the
    /// addresses reads at once, and each further one later, so that the list is read once and a dead registry
    /// delays little.
    static Base::Duration firstReadDelay(const std::string &ownAddress, std::span<const std::string> others);

    /// Takes over a list unless a later read is held. A list without servers stands for the same content when
    /// its digest is the one held. `packed` holds the servers as they travelled; without it they are packed
    /// here. Returns true when the content changed.
    bool offer(Base::Instant now, const Wire::ServerList &list, std::string_view packed = {});

    bool isKnown() const { return readAt_.has_value(); }
    std::uint64_t digest() const { return digest_; }
    Base::Instant readAt() const { return readAt_.value_or(Base::Instant {}); }
    /// Returns the list with its age; without servers when `heldDigest` is its digest. Nothing when none is
    /// known, or when what is held was read later: it would be refused, and asked for again at once.
    std::optional<Wire::PackedServerList> copyFor(Base::Instant now, std::uint64_t heldDigest,
                                                  std::uint32_t heldAgeMs = UINT32_MAX) const;
    /// Age of the list in milliseconds; the largest value when none is known.
    std::uint32_t ageMs(Base::Instant now) const { return readAgeMs(now, readAt_); }

    /// Tells whether this process should read the list now.
    bool shouldRead(Base::Instant now, bool isLeader, Base::Duration interval = ReadInterval) const;

private:
    std::string packedServers_;
    std::uint64_t digest_ = 0;
    std::optional<Base::Instant> readAt_;
};

/// Returns a received list, without servers when it came without them; MalformedMessage when it is damaged.
Base::Result<Wire::ServerList> unpack(const Wire::PackedServerList &packed);

} // namespace Registry
