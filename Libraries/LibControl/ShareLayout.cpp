#include "LibControl/ShareLayout.h"

#include <algorithm>

namespace Control {

ShareLayout::ShareLayout(const Configuration::Document &document,
                         const std::vector<Wire::EntryRecord> &entries)
{
    for (const auto &entry : entries)
        entries_[entry.entryId] = {entry.dataCentre, 0};
    loadCounts_[0] = entries_.size();
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
    changeLoad(entries_.at(entryId), 1);
}

void ShareLayout::unassign(const std::string &serverId)
{
    const auto found = owners_.find(serverId);
    if (found == owners_.end())
        return;
    changeLoad(entries_.at(found->second), -1);
    owners_.erase(found);
}

void ShareLayout::changeLoad(Entry &entry, int change)
{
    const auto counted = loadCounts_.find(entry.load);
    if (--counted->second == 0)
        loadCounts_.erase(counted);
    entry.load = change > 0 ? entry.load + 1 : entry.load - 1;
    ++loadCounts_[entry.load];
}

ShareLayout::Fit ShareLayout::fit(const std::string &serverId, const std::string &entryId) const
{
    return fitAgainst(surroundings(serverId), entryId, entries_.at(entryId));
}

std::string ShareLayout::bestEntry(const std::string &serverId) const
{
    const auto around = surroundings(serverId);
    const std::string *best = nullptr;
    Fit bestFit;
    for (const auto &[entryId, entry] : entries_) {
        const auto candidate = fitAgainst(around, entryId, entry);
        if (best == nullptr || candidate < bestFit) {
            best = &entryId;
            bestFit = candidate;
        }
    }
    return best == nullptr ? std::string() : *best;
}

ShareLayout::Surroundings ShareLayout::surroundings(const std::string &serverId) const
{
    const auto &server = servers_.at(serverId);
    Surroundings around {server.dataCentre, owner(serverId), loadCounts_.begin()->first, {}};
    if (!around.owner.empty())
        around.minimumLoad = std::min(around.minimumLoad, entries_.at(owner(serverId)).load - 1);
    for (const auto &fellow : server.fellows) {
        const auto &fellowOwner = owner(fellow);
        if (!fellowOwner.empty())
            around.fellowOwners.emplace_back(fellowOwner, entries_.at(fellowOwner).dataCentre);
    }
    return around;
}

ShareLayout::Fit ShareLayout::fitAgainst(const Surroundings &around, const std::string &entryId,
                                         const Entry &entry)
{
    Fit fit;
    for (const auto &[fellowOwner, dataCentre] : around.fellowOwners) {
        fit.sameEntryReplicas += fellowOwner == entryId ? 1 : 0;
        fit.sameDataCentreReplicas += dataCentre == entry.dataCentre ? 1 : 0;
    }
    fit.load = entry.load - (around.owner == entryId ? 1 : 0);
    fit.overloaded = fit.load > around.minimumLoad + LoadSlack;
    fit.remote = around.dataCentre != entry.dataCentre;
    return fit;
}

} // namespace Control
