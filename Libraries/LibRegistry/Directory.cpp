#include "LibRegistry/Directory.h"

#include "LibRegistry/GatewayTable.h"
#include "LibWire/Packed.h"

#include <optional>

namespace Registry {

namespace {

using ById = std::map<std::string, Wire::GatewayRecord>;

ById indexed(const std::vector<Wire::GatewayRecord> &gateways)
{
    ById byId;
    for (const auto &gateway : gateways)
        byId.emplace(gateway.gatewayId, gateway);
    return byId;
}

Wire::DirectoryChanges difference(const std::vector<Wire::GatewayRecord> &before,
                                  const std::vector<Wire::GatewayRecord> &after)
{
    Wire::DirectoryChanges changes;
    auto rest = indexed(before);
    for (const auto &gateway : after) {
        const auto old = rest.extract(gateway.gatewayId);
        if (old.empty() || old.mapped() != gateway)
            changes.present.push_back(gateway);
    }
    for (const auto &[id, gateway] : rest)
        changes.gone.push_back(id);
    return changes;
}

} // namespace

bool Directory::replace(std::vector<Wire::GatewayRecord> gateways)
{
    // Whoever has heard of no gateway yet knows nothing; that is not the same as none.
    if (gateways == gateways_ && (digest_ != 0 || gateways.empty()))
        return false;
    if (digest_ != 0)
        steps_.push_back({digest_, difference(gateways_, gateways)});
    if (steps_.size() > MaxSteps)
        steps_.pop_front();
    gateways_ = std::move(gateways);
    digest_ = digestOf(gateways_);
    packed_.clear();
    return true;
}

Wire::DirectoryCopy Directory::copyFor(std::uint64_t heldDigest) const
{
    if (heldDigest == digest_)
        return {digest_, heldDigest, {}};
    // The same gateways may have been there several times; the latest of these versions is the shortest way.
    auto first = steps_.size();
    while (first > 0 && steps_[first - 1].from != heldDigest)
        --first;
    const bool known = first > 0 && heldDigest != 0;
    const auto base = known ? heldDigest : 0;
    auto &packed = packed_[base];
    if (packed.empty())
        packed = known ? Wire::pack(changesSince(first - 1)) : Wire::pack(gateways_);
    return {digest_, base, packed};
}

Wire::DirectoryChanges Directory::changesSince(std::size_t firstStep) const
{
    std::map<std::string, std::optional<Wire::GatewayRecord>> latest;
    for (auto step = firstStep; step < steps_.size(); ++step) {
        for (const auto &gateway : steps_[step].changes.present)
            latest[gateway.gatewayId] = gateway;
        for (const auto &id : steps_[step].changes.gone)
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
    // Changes to a version that is no longer held answer an earlier question; the next answer will fit.
    if (copy.digest == digest_ || copy.digest == 0 || (copy.base != 0 && copy.base != digest_))
        return false;
    auto gateways = changed(copy);
    if (!gateways || digestOf(*gateways) != copy.digest) {
        digest_ = 0;
        steps_.clear();
        return gateways ? Base::fail(Base::ErrorKind::MalformedMessage, "the directory has another digest")
                        : tl::unexpected(gateways.error());
    }
    return replace(std::move(*gateways));
}

Base::Result<std::vector<Wire::GatewayRecord>> Directory::changed(const Wire::DirectoryCopy &copy) const
{
    if (copy.base == 0)
        return Wire::unpack<std::vector<Wire::GatewayRecord>>(copy.packed);
    const auto changes = Wire::unpack<Wire::DirectoryChanges>(copy.packed);
    if (!changes)
        return tl::unexpected(changes.error());
    auto byId = indexed(gateways_);
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

} // namespace Registry
