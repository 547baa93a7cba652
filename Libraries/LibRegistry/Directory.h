#pragma once

#include "LibBase/Error.h"
#include "LibWire/RegistryMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Registry {

/// The gateways that serve, as registries tell them to gateways. Load pattern: hundreds of gateways of which
/// some restart all the time. Each change would send the whole directory to each of them, so a receiver that
/// holds one of the latest versions gets only what differs.
class Directory
{
public:
    /// Versions that can be brought up to date by changes; at the usual rate of changes they cover the time
    /// that a gateway needs to move from one registry to another.
    static constexpr std::size_t MaxSteps = 32;

    /// Ordered by id.
    const std::vector<Wire::GatewayRecord> &gateways() const { return gateways_; }
    std::uint64_t digest() const { return digest_; }

    /// Takes over gateways that are ordered by id. Returns true when they differ.
    bool replace(std::vector<Wire::GatewayRecord> gateways);

    /// Returns what a receiver that holds `heldDigest` needs.
    Wire::DirectoryCopy copyFor(std::uint64_t heldDigest) const;

    /// Takes over a received copy and returns true when the gateways differ. A copy from a process that has
    /// just started and knows of none changes nothing, nor do changes to a version that is not held.
    /// MalformedMessage when the copy is damaged; then the whole directory is asked for next, and what is
    /// held stays in use.
    Base::Result<bool> apply(const Wire::DirectoryCopy &copy);

private:
    struct Step
    {
        std::uint64_t from = 0; ///< Digest before it.
        Wire::DirectoryChanges changes;
    };

    Base::Result<std::vector<Wire::GatewayRecord>> changed(const Wire::DirectoryCopy &copy) const;
    Wire::DirectoryChanges changesSince(std::size_t firstStep) const;

    std::vector<Wire::GatewayRecord> gateways_;
    std::uint64_t digest_ = 0; ///< 0 while nothing is known.
    std::deque<Step> steps_; ///< Oldest first; the last one led to what is held.
    mutable std::map<std::uint64_t, std::string> packed_; ///< Copies made since the last change, by base.
};

} // namespace Registry
