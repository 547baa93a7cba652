#include "LibControl/SharePlanner.h"

#include "LibControl/ShareLayout.h"

#include <algorithm>
#include <set>

namespace Control {

namespace {

using Shares = std::map<std::string, Wire::ShareRecord>;

/// Tells whether a move from `current` to `target` brings the layout closer to rest. Each alternative lowers
/// one aim without raising an earlier one, so moves cannot go round in a circle. With `keepApart`, a move
/// that only balances the load must not bring replicas into one data centre, which would cost a second move.
bool isImprovement(const ShareLayout::Fit &current, const ShareLayout::Fit &target, bool keepApart)
{
    if (target.sameEntryReplicas != current.sameEntryReplicas)
        return target.sameEntryReplicas < current.sameEntryReplicas;
    if (target.overloaded != current.overloaded)
        return current.overloaded
               && (!keepApart || target.sameDataCentreReplicas <= current.sameDataCentreReplicas);
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
        placeSettledShares();
        releaseUnknownServers();
        if (!layout_.hasEntries())
            return std::move(plan_);
        assignServers();
        moveShares(true);
        moveShares(false);
        return std::move(plan_);
    }

private:
    void placeSettledShares()
    {
        for (const auto &[serverId, share] : shares_) {
            if (!layout_.servers().contains(serverId) || !layout_.hasEntry(share.entryId))
                continue;
            if (share.releaseRequested) {
                ++movesUnderWay_;
                continue;
            }
            layout_.assign(serverId, share.entryId);
            settled_.insert(serverId);
        }
    }

    void releaseUnknownServers()
    {
        for (const auto &[serverId, share] : shares_) {
            if (!layout_.servers().contains(serverId) && !share.releaseRequested)
                plan_.releases.push_back({serverId, share.epoch});
        }
    }

    /// Servers that are still held but about to be released are placed too, so that their next owner is
    /// counted in the loads; only free servers are assigned.
    void assignServers()
    {
        for (const auto &[serverId, server] : layout_.servers()) {
            if (settled_.contains(serverId))
                continue;
            const auto entryId = layout_.bestEntry(serverId);
            layout_.assign(serverId, entryId);
            if (!shares_.contains(serverId))
                plan_.assignments.push_back({serverId, entryId});
        }
    }

    void moveShares(bool keepApart)
    {
        const auto candidates = settled_;
        for (const auto &serverId : candidates) {
            if (movesUnderWay_ >= SharePlanner::MaxMovesUnderWay)
                return;
            if (areFellowsSettled(serverId))
                considerMove(serverId, keepApart);
        }
    }

    /// A server is unusable while it moves, so replicas of one shard never move at the same time.
    bool areFellowsSettled(const std::string &serverId) const
    {
        const auto &fellows = layout_.servers().at(serverId).fellows;
        return std::all_of(fellows.begin(), fellows.end(),
                           [this](const std::string &fellow) { return settled_.contains(fellow); });
    }

    void considerMove(const std::string &serverId, bool keepApart)
    {
        const auto &owner = layout_.owner(serverId);
        const auto current = layout_.fit(serverId, owner);
        // Most servers are well placed, and the search for a better owner visits all entry processes.
        if (current.sameEntryReplicas == 0 && !current.overloaded && current.sameDataCentreReplicas == 0)
            return;
        const auto target = layout_.bestEntry(serverId);
        if (target == owner || !isImprovement(current, layout_.fit(serverId, target), keepApart))
            return;
        plan_.releases.push_back({serverId, shares_.at(serverId).epoch});
        layout_.assign(serverId, target);
        settled_.erase(serverId);
        ++movesUnderWay_;
    }

    ShareLayout layout_;
    const Shares &shares_;
    std::set<std::string> settled_; ///< Servers that have an owner and are not asked to change it.
    std::size_t movesUnderWay_ = 0;
    SharePlanner::Plan plan_;
};

} // namespace

SharePlanner::Plan SharePlanner::plan(const Configuration::Document &document,
                                      const std::vector<Wire::EntryRecord> &entries, const Shares &shares)
{
    return PlanBuilder(document, entries, shares).build();
}

} // namespace Control
