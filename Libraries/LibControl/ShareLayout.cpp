#include "LibControl/ShareLayout.h"

#include <algorithm>
#include <limits>

namespace Control {

ShareLayout::ShareLayout(const Configuration::Document &document,
                         const std::vector<Wire::EntryRecord> &entries)
{
    for (const auto &entry : entries)
        entries_[entry.entryId] = {entry.dataCentre, 0};
    for (const auto &index : document.indexes)
        addIndex(index);
    for (auto &[serverId, server] : servers_) {
        std::sort(server.fellows.begin(), server.fellows.end());
        server.fellows.erase(std::unique(server.fellows.begin(), server.fellows.end()), server.fellows.end());
    }
}

void ShareLayout::addIndex(const Configuration::Index &index)
{
    for (const auto &server : index.servers)
        servers_[server.id].dataCentre = server.dataCentre;
    for (const auto &shard : index.shards) {
        for (const auto &serverId : shard.serverIds) {
            auto &fellows = servers_[serverId].fellows;
            std::copy_if(shard.serverIds.begin(), shard.serverIds.end(), std::back_inserter(fellows),
                         [&serverId](const std::string &fellow) { return fellow != serverId; });
        }
    }
}

const std::string &ShareLayout::owner(const std::string &serverId) const
{
    static const std::string None;
    const auto found = owners_.find(serverId);
    return found == owners_.end() ? None : found->second;
}

void ShareLayout::assign(const std::string &serverId, const std::string &entryId)
{
    unassign(serverId);
    owners_[serverId] = entryId;
    ++entries_[entryId].load;
}

void ShareLayout::unassign(const std::string &serverId)
{
    const auto found = owners_.find(serverId);
    if (found == owners_.end())
        return;
    --entries_[found->second].load;
    owners_.erase(found);
}

ShareLayout::Fit ShareLayout::fit(const std::string &serverId, const std::string &entryId) const
{
    return fitAgainst(minimumLoadWithout(serverId), serverId, entryId);
}

ShareLayout::Fit ShareLayout::fitAgainst(std::size_t minimumLoad, const std::string &serverId,
                                         const std::string &entryId) const
{
    const auto &server = servers_.at(serverId);
    const auto &dataCentre = entries_.at(entryId).dataCentre;
    Fit fit;
    for (const auto &fellow : server.fellows) {
        const auto &fellowOwner = owner(fellow);
        if (fellowOwner.empty())
            continue;
        fit.sameEntryReplicas += fellowOwner == entryId ? 1 : 0;
        fit.sameDataCentreReplicas += entries_.at(fellowOwner).dataCentre == dataCentre ? 1 : 0;
    }
    fit.load = loadWithout(entryId, serverId);
    fit.overloaded = fit.load > minimumLoad + LoadSlack;
    fit.remote = server.dataCentre != dataCentre;
    return fit;
}

std::string ShareLayout::bestEntry(const std::string &serverId) const
{
    const auto minimumLoad = minimumLoadWithout(serverId);
    std::string best;
    Fit bestFit;
    for (const auto &[entryId, entry] : entries_) {
        const auto candidate = fitAgainst(minimumLoad, serverId, entryId);
        if (best.empty() || candidate < bestFit) {
            best = entryId;
            bestFit = candidate;
        }
    }
    return best;
}

std::size_t ShareLayout::loadWithout(const std::string &entryId, const std::string &serverId) const
{
    return entries_.at(entryId).load - (owner(serverId) == entryId ? 1 : 0);
}

std::size_t ShareLayout::minimumLoadWithout(const std::string &serverId) const
{
    auto minimum = std::numeric_limits<std::size_t>::max();
    for (const auto &[entryId, entry] : entries_)
        minimum = std::min(minimum, loadWithout(entryId, serverId));
    return minimum;
}

} // namespace Control
