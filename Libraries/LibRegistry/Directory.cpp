#include "LibRegistry/Directory.h"

#include "LibRegistry/GatewayTable.h"
#include "LibWire/Packed.h"

#include <algorithm>
#include <optional>

namespace Registry {

namespace {

using ById = std::map<std::string, Wire::GatewayRecord>;

ById indexById(const std::vector<Wire::GatewayRecord> &gateways)
{
    ById byId;
    for (const auto &gateway : gateways)
        byId.emplace(gateway.gatewayId, gateway);
    return byId;
}

Wire::DirectoryChanges computeChanges(const std::vector<Wire::GatewayRecord> &before,
                                      const std::vector<Wire::GatewayRecord> &after)
{
    Wire::DirectoryChanges changes;
    auto removed = indexById(before);
    for (const auto &gateway : after) {
        const auto old = removed.extract(gateway.gatewayId);
        if (old.empty() || old.mapped() != gateway)
            changes.present.push_back(gateway);
    }
    for (const auto &[id, gateway] : removed)
        changes.gone.push_back(id);
    return changes;
}

} // namespace

Directory::Change Directory::compare(const std::vector<Wire::GatewayRecord> &gateways) const
{
    // Digest 0 means "not known yet", which differs from a directory known to be empty.
    if (gateways == gateways_ && (digest_ != 0 || gateways.empty()))
        return Change::None;
    return digest_ != 0 && haveSameGateways(gateways, gateways_) ? Change::CallerShares : Change::Gateways;
}

bool Directory::replace(std::vector<Wire::GatewayRecord> gateways)
{
    if (compare(gateways) == Change::None)
        return false;
    if (digest_ != 0)
        deltas_.push_back({digest_, computeChanges(gateways_, gateways)});
    if (deltas_.size() > MaxDeltas)
        deltas_.pop_front();
    gateways_ = std::move(gateways);
    digest_ = digestOf(gateways_);
    packedByBase_.clear();
    return true;
}

Wire::DirectoryCopy Directory::copyFor(std::uint64_t heldDigest) const
{
    if (heldDigest == digest_)
        return {digest_, heldDigest, {}};
    // The same directory may occur several times in the history; the latest occurrence needs the fewest
    // deltas.
    auto first = deltas_.size();
    while (first > 0 && deltas_[first - 1].baseDigest != heldDigest)
        --first;
    const bool known = first > 0 && heldDigest != 0;
    const auto base = known ? heldDigest : 0;
    auto &packed = packedByBase_[base];
    if (packed.empty())
        packed = known ? Wire::pack(mergeDeltasFrom(first - 1)) : Wire::pack(gateways_);
    return {digest_, base, packed};
}

Wire::DirectoryChanges Directory::mergeDeltasFrom(std::size_t firstDelta) const
{
    std::map<std::string, std::optional<Wire::GatewayRecord>> latest;
    for (auto index = firstDelta; index < deltas_.size(); ++index) {
        for (const auto &gateway : deltas_[index].changes.present)
            latest[gateway.gatewayId] = gateway;
        for (const auto &id : deltas_[index].changes.gone)
            latest[id].reset();
    }
    Wire::DirectoryChanges changes;
    for (auto &[id, gateway] : latest) {
        if (gateway)
            changes.present.push_back(std::move(*gateway));
        else
            changes.gone.push_back(id);
    }
    return changes;
}

Base::Result<bool> Directory::apply(const Wire::DirectoryCopy &copy)
{
    // Changes based on another version answer an earlier request; the next reply will match.
    if (copy.digest == digest_ || copy.digest == 0 || (copy.base != 0 && copy.base != digest_))
        return false;
    auto gateways = gatewaysAfterApplying(copy);
    if (!gateways || digestOf(*gateways) != copy.digest) {
        digest_ = 0;
        deltas_.clear();
        return gateways ? Base::fail(Base::ErrorKind::MalformedMessage,
                                     "received directory does not match its digest")
                        : tl::unexpected(gateways.error());
    }
    return replace(std::move(*gateways));
}

Base::Result<std::vector<Wire::GatewayRecord>>
Directory::gatewaysAfterApplying(const Wire::DirectoryCopy &copy) const
{
    if (copy.base == 0)
        return Wire::unpack<std::vector<Wire::GatewayRecord>>(copy.packed);
    const auto changes = Wire::unpack<Wire::DirectoryChanges>(copy.packed);
    if (!changes)
        return tl::unexpected(changes.error());
    auto byId = indexById(gateways_);
    for (const auto &id : changes->gone)
        byId.erase(id);
    for (const auto &gateway : changes->present)
        byId.insert_or_assign(gateway.gatewayId, gateway);
    std::vector<Wire::GatewayRecord> gateways;
    gateways.reserve(byId.size());
    for (auto &[id, gateway] : byId)
        gateways.push_back(std::move(gateway));
    return gateways;
}

bool haveSameGateways(const std::vector<Wire::GatewayRecord> &left,
                      const std::vector<Wire::GatewayRecord> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](auto one, const auto &other) {
        one.callerShare = other.callerShare;
        return one == other;
    });
}

} // namespace Registry
