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
        std::sort(server.siblings.begin(), server.siblings.end());
        server.siblings.erase(std::unique(server.siblings.begin(), server.siblings.end()),
                              server.siblings.end());
    }
}

void ShareLayout::addIndex(const Configuration::Index &index)
{
    for (const auto &server : index.servers)
        servers_[server.id].dataCentre = server.dataCentre;
    for (const auto &shard : index.shards) {
        for (const auto &serverId : shard.serverIds) {
            auto &siblings = servers_[serverId].siblings;
            std::copy_if(shard.serverIds.begin(), shard.serverIds.end(), std::back_inserter(siblings),
                         [&serverId](const std::string &sibling) { return sibling != serverId; });
        }
    }
}

const std::string &ShareLayout::owner(const std::string &serverId) const
{
    static const std::string NoOwner;
    const auto found = owners_.find(serverId);
    return found == owners_.end() ? NoOwner : found->second;
}

void ShareLayout::assign(const std::string &serverId, const std::string &entryId)
{
    unassign(serverId);
    owners_[serverId] = entryId;
    adjustLoad(entries_.at(entryId), 1);
}

void ShareLayout::unassign(const std::string &serverId)
{
    const auto found = owners_.find(serverId);
    if (found == owners_.end())
        return;
    adjustLoad(entries_.at(found->second), -1);
    owners_.erase(found);
}

void ShareLayout::adjustLoad(Entry &entry, int delta)
{
    const auto counted = loadCounts_.find(entry.load);
    if (--counted->second == 0)
        loadCounts_.erase(counted);
    entry.load = delta > 0 ? entry.load + 1 : entry.load - 1;
    ++loadCounts_[entry.load];
}

ShareLayout::PlacementCost ShareLayout::placementCost(const std::string &serverId,
                                                      const std::string &entryId) const
{
    return costInContext(placementContext(serverId), entryId, entries_.at(entryId));
}

std::string ShareLayout::bestEntry(const std::string &serverId) const
{
    const auto context = placementContext(serverId);
    const std::string *best = nullptr;
    PlacementCost bestCost;
    for (const auto &[entryId, entry] : entries_) {
        const auto candidate = costInContext(context, entryId, entry);
        if (best == nullptr || candidate < bestCost) {
            best = &entryId;
            bestCost = candidate;
        }
    }
    return best == nullptr ? std::string() : *best;
}

ShareLayout::PlacementContext ShareLayout::placementContext(const std::string &serverId) const
{
    const auto &server = servers_.at(serverId);
    PlacementContext context {server.dataCentre, owner(serverId), loadCounts_.begin()->first, {}};
    if (!context.owner.empty())
        context.minimumLoad = std::min(context.minimumLoad, entries_.at(owner(serverId)).load - 1);
    for (const auto &sibling : server.siblings) {
        const auto &siblingOwner = owner(sibling);
        if (!siblingOwner.empty())
            context.siblingOwners.emplace_back(siblingOwner, entries_.at(siblingOwner).dataCentre);
    }
    return context;
}

ShareLayout::PlacementCost ShareLayout::costInContext(const PlacementContext &context,
                                                      const std::string &entryId, const Entry &entry)
{
    PlacementCost cost;
    for (const auto &[siblingOwner, dataCentre] : context.siblingOwners) {
        cost.sameEntryReplicas += siblingOwner == entryId ? 1 : 0;
        cost.sameDataCentreReplicas += dataCentre == entry.dataCentre ? 1 : 0;
    }
    cost.load = entry.load - (context.owner == entryId ? 1 : 0);
    cost.overloaded = cost.load > context.minimumLoad + LoadTolerance;
    cost.remote = context.dataCentre != entry.dataCentre;
    return cost;
}

} // namespace Control
