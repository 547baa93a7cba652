#include "LibControl/SharePlanner.h"

#include "LibControl/ShareLayout.h"

#include <algorithm>
#include <set>

namespace Control {

namespace {

using Shares = std::map<std::string, Wire::ShareRecord>;

/// Tells whether a move from `current` to `target` is an improvement. Each accepted case improves one
/// criterion without worsening one of higher priority, so moves cannot cycle. With `keepReplicasApart`, a
/// move that only balances the load must not bring replicas into one data centre, which would cost a second
/// move.
bool isImprovement(const ShareLayout::PlacementCost &current, const ShareLayout::PlacementCost &target,
                   bool keepReplicasApart)
{
    if (target.sameEntryReplicas != current.sameEntryReplicas)
        return target.sameEntryReplicas < current.sameEntryReplicas;
    if (target.overloaded != current.overloaded)
        return current.overloaded
               && (!keepReplicasApart || target.sameDataCentreReplicas <= current.sameDataCentreReplicas);
    return target.sameDataCentreReplicas < current.sameDataCentreReplicas && target.load <= current.load;
}

class PlanBuilder
{
public:
    PlanBuilder(const Configuration::Document &document, const std::vector<Wire::EntryRecord> &entries,
                const Shares &shares)
        : layout_(document, entries)
        , shares_(shares)
    {
    }

    SharePlanner::Plan build()
    {
        placeStableShares();
        releaseUnknownServers();
        if (!layout_.hasEntries())
            return std::move(plan_);
        assignServers();
        moveShares(true);
        moveShares(false);
        return std::move(plan_);
    }

private:
    void placeStableShares()
    {
        for (const auto &[serverId, share] : shares_) {
            if (!layout_.servers().contains(serverId) || !layout_.hasEntry(share.entryId))
                continue;
            if (share.releaseRequested) {
                ++movesInProgress_;
                continue;
            }
            layout_.assign(serverId, share.entryId);
            stableServers_.insert(serverId);
        }
    }

    void releaseUnknownServers()
    {
        for (const auto &[serverId, share] : shares_) {
            if (!layout_.servers().contains(serverId) && !share.releaseRequested)
                plan_.releases.push_back({serverId, share.epoch});
        }
    }

    /// Servers that are still held but about to be released are placed too, so that the loads include
    /// their next owner; only servers without an owner are assigned.
    void assignServers()
    {
        for (const auto &[serverId, server] : layout_.servers()) {
            if (stableServers_.contains(serverId))
                continue;
            const auto entryId = layout_.bestEntry(serverId);
            layout_.assign(serverId, entryId);
            if (!shares_.contains(serverId))
                plan_.assignments.push_back({serverId, entryId});
        }
    }

    void moveShares(bool keepReplicasApart)
    {
        const auto candidates = stableServers_;
        for (const auto &serverId : candidates) {
            if (movesInProgress_ >= SharePlanner::MaxConcurrentMoves)
                return;
            if (areSiblingsStable(serverId))
                planMoveIfBetter(serverId, keepReplicasApart);
        }
    }

    /// A server is unusable while it moves, so replicas of one shard never move at the same time.
    bool areSiblingsStable(const std::string &serverId) const
    {
        const auto &siblings = layout_.servers().at(serverId).siblings;
        return std::all_of(siblings.begin(), siblings.end(),
                           [this](const std::string &sibling) { return stableServers_.contains(sibling); });
    }

    void planMoveIfBetter(const std::string &serverId, bool keepReplicasApart)
    {
        const auto &owner = layout_.owner(serverId);
        const auto current = layout_.placementCost(serverId, owner);
        // Most servers need no move, and the search for a better owner visits all entry processes.
        if (current.sameEntryReplicas == 0 && !current.overloaded && current.sameDataCentreReplicas == 0)
            return;
        const auto target = layout_.bestEntry(serverId);
        if (target == owner
            || !isImprovement(current, layout_.placementCost(serverId, target), keepReplicasApart))
            return;
        plan_.releases.push_back({serverId, shares_.at(serverId).epoch});
        layout_.assign(serverId, target);
        stableServers_.erase(serverId);
        ++movesInProgress_;
    }

    ShareLayout layout_;
    const Shares &shares_;
    std::set<std::string> stableServers_; ///< Servers with an owner and no pending release.
    std::size_t movesInProgress_ = 0;
    SharePlanner::Plan plan_;
};

} // namespace

SharePlanner::Plan SharePlanner::plan(const Configuration::Document &document,
                                      const std::vector<Wire::EntryRecord> &entries, const Shares &shares)
{
    return PlanBuilder(document, entries, shares).build();
}

} // namespace Control
