#pragma once

#include "LibBase/Error.h"
#include "LibWire/RegistryMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Registry {

/// The serving gateways, as registries distribute them to gateways. Load pattern: hundreds of gateways, some
/// of them always restarting. Sending the whole directory to every gateway on each change would be costly, so
/// a receiver that holds a recent version gets only the changes.
class Directory
{
public:
    /// Number of past versions that can be updated incrementally; at the usual rate of changes they cover the
    /// time a gateway needs to switch to another registry.
    static constexpr std::size_t MaxDeltas = 32;

    /// Sorted by id.
    const std::vector<Wire::GatewayRecord> &gateways() const { return gateways_; }
    std::uint64_t digest() const { return digest_; }

    /// What a replacement would change.
    enum class Change : std::uint8_t {
        None,
        CallerShares, ///< Nothing but these.
        Gateways
    };
    Change compare(const std::vector<Wire::GatewayRecord> &gateways) const;

    /// Replaces the directory by gateways sorted by id. Returns true if it changed.
    bool replace(std::vector<Wire::GatewayRecord> gateways);

    /// Returns the changes since the version with `heldDigest`, or the whole directory if it is not in the
    /// history.
    Wire::DirectoryCopy copyFor(std::uint64_t heldDigest) const;

    /// Applies a received copy and returns true if the gateways changed. Ignores copies from a process that
    /// does not know any gateway yet, and changes based on a version that is not held. Returns
    /// MalformedMessage if the copy is damaged: the current gateways stay in use, and the digest is reset so
    /// that the next request fetches the whole directory.
    Base::Result<bool> apply(const Wire::DirectoryCopy &copy);

private:
    struct Delta
    {
        std::uint64_t baseDigest = 0; ///< Digest of the version that the changes apply to.
        Wire::DirectoryChanges changes;
    };

    Base::Result<std::vector<Wire::GatewayRecord>>
    gatewaysAfterApplying(const Wire::DirectoryCopy &copy) const;
    Wire::DirectoryChanges mergeDeltasFrom(std::size_t firstDelta) const;

    std::vector<Wire::GatewayRecord> gateways_;
    std::uint64_t digest_ = 0; ///< 0 until the directory is known.
    std::deque<Delta> deltas_; ///< Oldest first; the last one leads to the current version.
    /// Encoded copies of the current version, by base digest.
    mutable std::map<std::uint64_t, std::string> packedByBase_;
};

/// Whether both, sorted by id, differ in nothing but caller shares.
bool haveSameGateways(const std::vector<Wire::GatewayRecord> &left,
                      const std::vector<Wire::GatewayRecord> &right);

} // namespace Registry
