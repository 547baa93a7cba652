#pragma once

#include "LibBase/RandomSource.h"
#include "LibConsensus/SimulatedCluster.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

/// What the episodes of one explorer have seen together.
struct ExplorerTotals
{
    std::unordered_set<std::size_t> states;
    std::size_t committed = 0;
};

/// How badly messages and processes behave; the first four are percentages.
struct ExplorerNoise
{
    unsigned reordered = 0;
    unsigned duplicated = 0;
    unsigned lost = 0;
    unsigned unsynced = 0; ///< Messages after which the node does not get to its sync.
    std::size_t maxMessages = 0; ///< Under way; more of them are lost.
};

/// One run of random events on a simulated cluster, from one seed. Explorers add the faults and the repair.
class ExplorerEpisode
{
public:
    ExplorerEpisode(std::uint64_t seed, unsigned nodes, std::uint64_t clusterSeed, const ExplorerNoise &noise,
                    ExplorerTotals &totals)
        : random_(seed)
        , cluster_(nodes, clusterSeed)
        , noise_(noise)
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
        auto &pool = cluster_.messages();
        if (pool.empty())
            return passTime();
        const auto position = chance(noise_.reordered) ? random_.below(pool.size()) : 0;
        const auto message = pool[position];
        if (!chance(noise_.duplicated))
            pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(position));
        if (pool.size() > noise_.maxMessages)
            pool.erase(pool.begin(), pool.begin() + static_cast<std::ptrdiff_t>(noise_.maxMessages / 2));
        const bool lost = chance(noise_.lost) || isCut(message);
        if (!lost)
            cluster_.deliver(message, !chance(noise_.unsynced));
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
    ExplorerNoise noise_;
    ExplorerTotals &sharedTotals_;
};
