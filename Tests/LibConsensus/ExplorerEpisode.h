#pragma once

#include "LibBase/RandomSource.h"
#include "LibConsensus/SimulatedCluster.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

/// Totals over all episodes of one explorer.
struct ExplorerTotals
{
    std::unordered_set<std::size_t> states;
    std::size_t committed = 0;
};

/// Fault rates of messages and processes.
struct ExplorerNoise
{
    unsigned reorderPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned lossPercent = 0;
    unsigned skipSyncPercent = 0; ///< Messages after which the node does not sync its store.
    std::size_t maxInFlightMessages = 0; ///< Messages in flight; above this number the oldest are dropped.
};

/// One run of random events on a simulated cluster, from one seed. Explorers add the faults and the repair.
class ExplorerEpisode
{
public:
    ExplorerEpisode(std::uint64_t seed, unsigned nodes, std::uint64_t clusterSeed,
                    const ExplorerNoise &faultRates, ExplorerTotals &totals)
        : random_(seed)
        , cluster_(nodes, clusterSeed)
        , faultRates_(faultRates)
        , sharedTotals_(totals)
    {
    }
    virtual ~ExplorerEpisode() = default;
    ExplorerEpisode(const ExplorerEpisode &) = delete;
    ExplorerEpisode &operator=(const ExplorerEpisode &) = delete;

    /// Returns the violations of the cluster's properties.
    std::vector<std::string> run(unsigned steps)
    {
        for (unsigned step = 0; step < steps && cluster_.violations.empty(); ++step) {
            stepOnce();
            sharedTotals_.states.insert(cluster_.stateHash());
        }
        heal();
        sharedTotals_.committed += cluster_.committedCount();
        return cluster_.violations;
    }

protected:
    virtual void stepOnce() = 0;
    /// Ends all faults and adds a violation when the cluster does not recover.
    virtual void heal() = 0;
    virtual bool isCut(const Wire::RaftMessage &message) const = 0;
    /// Runs after time has passed at the nodes.
    virtual void timePassed() { }

    bool chance(unsigned percent) { return random_.below(100) < percent; }
    std::size_t anyNode() { return random_.below(cluster_.size()); }

    void deliverOne()
    {
        auto &messages = cluster_.messages();
        if (messages.empty())
            return passTime();
        const auto position = chance(faultRates_.reorderPercent) ? random_.below(messages.size()) : 0;
        const auto message = messages[position];
        if (!chance(faultRates_.duplicatePercent))
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(position));
        if (messages.size() > faultRates_.maxInFlightMessages)
            messages.erase(messages.begin(),
                           messages.begin()
                               + static_cast<std::ptrdiff_t>(faultRates_.maxInFlightMessages / 2));
        const bool lost = chance(faultRates_.lossPercent) || isCut(message);
        if (!lost)
            cluster_.deliver(message, !chance(faultRates_.skipSyncPercent));
    }

    void passTime()
    {
        cluster_.advance(Base::milliseconds(1 + static_cast<std::int64_t>(random_.below(60))));
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            if (chance(80))
                cluster_.tick(index);
        }
        timePassed();
    }

    Base::RandomSource random_;
    SimulatedCluster cluster_;

private:
    ExplorerNoise faultRates_;
    ExplorerTotals &sharedTotals_;
};
