#include "FakeCluster.h"
#include "LibControl/SharePlanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Control::SharePlanner;
using Entries = std::vector<Wire::EntryRecord>;
using Shares = std::map<std::string, Wire::ShareRecord>;

Entries makeEntries(int count)
{
    Entries entries;
    for (int i = 0; i < count; ++i)
        entries.push_back(Tests::FakeCluster::renewal("e" + std::to_string(i)).entry);
    return entries;
}

/// Applies plans until one is empty; returns the number of moves.
int planUntilStable(const Configuration::Document &document, const Entries &entries, Shares &shares)
{
    int moves = 0;
    for (int round = 0; round < 1000; ++round) {
        const auto plan = SharePlanner::plan(document, entries, shares);
        if (plan.assignments.empty() && plan.releases.empty())
            return moves;
        RC_ASSERT(plan.releases.size() <= SharePlanner::MaxConcurrentMoves);
        for (const auto &assignment : plan.assignments)
            shares[assignment.serverId] = {assignment.serverId, assignment.entryId, 1, false};
        for (const auto &release : plan.releases)
            shares.erase(release.serverId);
        moves += static_cast<int>(plan.releases.size());
    }
    RC_FAIL("plans do not converge");
}

std::map<std::string, int> loads(const Entries &entries, const Shares &shares)
{
    std::map<std::string, int> counts;
    for (const auto &entry : entries)
        counts[entry.entryId] = 0;
    for (const auto &[serverId, share] : shares)
        ++counts.at(share.entryId);
    return counts;
}

int spread(const std::map<std::string, int> &counts)
{
    const auto byCount = [](const auto &left, const auto &right) { return left.second < right.second; };
    const auto [least, most] = std::minmax_element(counts.begin(), counts.end(), byCount);
    return most->second - least->second;
}

void checkReplicasApart(const Configuration::Document &document, const Shares &shares)
{
    for (const auto &shard : document.indexes[0].shards)
        RC_ASSERT(shares.at(shard.serverIds[0]).entryId != shares.at(shard.serverIds[1]).entryId);
}

} // namespace

// A join or leave must end in a balanced layout with replicas apart, after few moves; plans that undo each
// other would move shares without end.
RC_GTEST_PROP(SharePlanner, JoinsAndLeavesConverge, ())
{
    const auto shards = *rc::gen::inRange(1, 30);
    const auto document = *Tests::FakeCluster::parse("two-by-" + std::to_string(shards)).document;
    Shares shares;
    for (const auto count : *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(2, 13))) {
        const auto entries = makeEntries(count);
        std::erase_if(shares,
                      [&](const auto &item) { return std::stoi(item.second.entryId.substr(1)) >= count; });
        const auto moves = planUntilStable(document, entries, shares);
        RC_ASSERT(shares.size() == static_cast<std::size_t>(2 * shards));
        RC_ASSERT(spread(loads(entries, shares)) <= 2);
        checkReplicasApart(document, shares);
        RC_ASSERT(moves <= 4 * shards);
    }
}

// An entry process that joins must get about an equal number of servers, with about as many moves.
TEST(SharePlanner, JoinMovesAboutOneEvenShare)
{
    const auto document = *Tests::FakeCluster::parse("two-by-50").document;
    Shares shares;
    EXPECT_EQ(planUntilStable(document, makeEntries(11), shares), 0);
    const auto before = shares;
    const auto moves = planUntilStable(document, makeEntries(12), shares);
    EXPECT_GE(loads(makeEntries(12), shares).at("e11"), 6);
    EXPECT_LE(moves, 10);
}

// Replicas at owners in one data centre are lost together with it.
TEST(SharePlanner, ReplicasGetOwnersInDifferentDataCentres)
{
    const auto document = *Tests::FakeCluster::parse("two-by-50").document;
    const auto entries = makeEntries(12);
    std::map<std::string, std::string> dataCentres;
    for (const auto &entry : entries)
        dataCentres[entry.entryId] = entry.dataCentre;
    Shares shares;
    planUntilStable(document, entries, shares);
    for (const auto &shard : document.indexes[0].shards)
        EXPECT_NE(dataCentres[shares.at(shard.serverIds[0]).entryId],
                  dataCentres[shares.at(shard.serverIds[1]).entryId]);
}

// Moving both replicas of a shard at once would leave the shard unreachable.
TEST(SharePlanner, ReplicasOfOneShardDoNotMoveTogether)
{
    const auto document = *Tests::FakeCluster::parse("two-by-4").document;
    Shares shares;
    planUntilStable(document, makeEntries(2), shares);
    const auto plan = SharePlanner::plan(document, makeEntries(12), shares);
    std::set<std::string> shards;
    for (const auto &release : plan.releases)
        EXPECT_TRUE(shards.insert(release.serverId.substr(0, 2)).second) << release.serverId;
    EXPECT_FALSE(plan.releases.empty());
}
